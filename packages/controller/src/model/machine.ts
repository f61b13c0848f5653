/** A machine, what is stored of it and what this controller knows and intends. */
import type { MachineType, TaskStatus } from '@archpost/protocol';
import type { Allocation } from './job.js';
import type { MachineLoad } from './machine-load.js';
import type { Milliseconds } from './time.js';

/**
 * What a shard's holder learned of a machine and decided about it. It begins with the lease on the shard, or when the machine
 * comes to the shard, and is made anew then: nothing of an earlier tenure may count.
 */
export class MachineTenure {
  agentEpoch = 0;
  sequence = -1;
  /** answered our token since we took the share over: its report is all there is on it */
  isVerified = false;
  /** asked since we took the share over */
  isProbed = false;
  /** highest rank of what its reports name while it isn't resolved: says who to ask first, no more */
  reportedPriority = -1;
  /** a command's fate is unknown: its token must rise before it is used again */
  hasUncertainCommand = false;
  isRaisingToken = false;
  pendingCommandId = 0;
  retryAt: Milliseconds = 0;
  /** commands in a row that got no answer, and since when; heard is not reachable */
  unansweredCommands = 0;
  unansweredSince: Milliseconds = -1;
  preemptionNoticeUntil: Milliseconds = -1;
  readonly allocations = new Map<string, Allocation>();
  /** tasks reported that belong to no job or place of ours */
  orphanedTasks: TaskStatus[] = [];
  /** a return to the cloud is wanted, because: */
  releaseReason = '';
  isReleasing = false;

  /**
   * `lastHeartbeatAt`: silence counts from here; `isUnverifiedTakeover`: the machine may bear work of an earlier holder that
   * isn't known here.
   */
  constructor(
    public lastHeartbeatAt: Milliseconds,
    public isUnverifiedTakeover: boolean,
  ) {}
}

export class Machine {
  /** what this controller learned and decided since the machine's shard, or the machine, came to it */
  tenure = new MachineTenure(0, false);
  shard = -1;
  assignmentRevision = 0;
  moveToShard = -1;
  isRetired = false;
  lastProbeAt: Milliseconds = -1e12;
  /** when it was last told something */
  lastCommandAt: Milliseconds = -1e12;
  /** when another controller last said that it hears it */
  heardByPeerAt: Milliseconds = -1e12;
  /** who said so */
  heardByPeer = '';
  /** something about it is odd: it is to be asked how it stands */
  probeRequested = false;
  probeRequestedAt: Milliseconds = -1e12;
  /** what its placements take, as long as none changes; see `changed` */
  load: MachineLoad | null = null;
  /** there may be something to command: a start, a stop, or an end to clear away */
  commandsDue = true;
  images = new Map<number, number>();
  imagesWriteQueued = false;
  failedJobs = new Set<string>();
  /** failed here, of jobs whose tasks get done elsewhere */
  failedTaskCount = 0;
  lastErrorAt: Milliseconds = -1e12;
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
