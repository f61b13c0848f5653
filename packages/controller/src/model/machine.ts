/** A machine, what is stored of it and what this controller knows and intends. */
import type { MachineType, TaskStatus } from '@archpost/protocol';
import type { Allocation } from './job.js';
import type { MachineLoad } from './machine-load.js';
import type { Milliseconds } from './time.js';

export class Machine {
  shard = -1;
  assignmentRevision = 0;
  moveToShard = -1;
  isRetired = false;
  agentEpoch = 0;
  sequence = -1;
  /** answered our token since we took the share over: its report is all there is on it */
  isVerified = false;
  /** asked since we took the share over */
  isProbed = false;
  lastProbeAt: Milliseconds = -1e12;
  /** highest rank of what its reports name while it isn't resolved: says who to ask first, no more */
  reportedPriority = -1;
  /** may bear work of an earlier holder that we don't know of */
  isUnverifiedTakeover = false;
  /** a command's fate is unknown: its token must rise before it is used again */
  hasUncertainCommand = false;
  isRaisingToken = false;
  pendingCommandId = 0;
  /** when it was last told something */
  lastCommandAt: Milliseconds = -1e12;
  retryAt: Milliseconds = 0;
  lastHeartbeatAt: Milliseconds = 0;
  /** when another controller last said that it hears it */
  heardByPeerAt: Milliseconds = -1e12;
  /** who said so */
  heardByPeer = '';
  /** commands in a row that got no answer, and since when; heard is not reachable */
  unansweredCommands = 0;
  unansweredSince: Milliseconds = -1;
  /** something about it is odd: it is to be asked how it stands */
  probeRequested = false;
  probeRequestedAt: Milliseconds = -1e12;
  preemptionNoticeUntil: Milliseconds = -1;
  allocations = new Map<string, Allocation>();
  /** what its placements take, as long as none changes; see `changed` */
  load: MachineLoad | null = null;
  /** there may be something to command: a start, a stop, or an end to clear away */
  commandsDue = true;
  /** tasks reported that belong to no job or place of ours */
  orphanedTasks: TaskStatus[] = [];
  images = new Map<number, number>();
  imagesWriteQueued = false;
  failedJobs = new Set<string>();
  /** failed here, of jobs whose tasks get done elsewhere */
  failedTaskCount = 0;
  lastErrorAt: Milliseconds = -1e12;
  /** a return to the cloud is wanted, because: */
  releaseReason = '';
  isReleasing = false;
  releaseRetryAt: Milliseconds = 0;
  idleSince: Milliseconds = 0;
  assignmentWriteQueued = false;
  /** takes no more work without accelerators until then: it is being emptied */
  reservedUntil: Milliseconds = -1;

  constructor(
    readonly name: string,
    public address: string,
    readonly typeIndex: number,
    readonly zoneIndex: number,
    readonly spot: boolean,
    public capacity: MachineType | null,
  ) {}

  /** To be called whenever a placement comes, goes, ends or is to stop, and when what it may bear changes. */
  allocationsChanged(): void {
    this.load = null;
    this.commandsDue = true;
  }
}
