/** A machine, what is stored of it and what this controller knows and intends. */
import type { MachineType, TaskStatus } from '@archpost/protocol';
import type { Allocation } from './job.js';
import type { MachineLoad } from './machine-load.js';
import { type Milliseconds, NEVER } from './time.js';

/** The shard of a machine whose assignment is gone, or not read yet. */
export const UNASSIGNED_SHARD = -1;

/** The epoch of an agent that has not been heard; real ones are larger. */
export const UNKNOWN_EPOCH = 0;

/** Before the first heartbeat of an agent. */
export const NOTHING_HEARD = -1;

/** Below every priority: a machine whose heartbeats name no job that is known. */
export const LOWEST_REPORTED_PRIORITY = -1;

/** Why a machine is to be released to the cloud. */
export type ReleaseReason =
  | 'silent'
  | 'silent with cancelled work'
  | 'cancelled work does not end'
  | 'idle'
  | 'quarantined'
  | 'spot preemption notice'
  | 'cut off beyond its lease'
  | 'unreachable';

/**
 * What a shard's holder learned of a machine and decided about it. It begins with the lease on the shard, or when the machine
 * comes to the shard, and is made anew then: nothing of an earlier tenure may count.
 */
export class MachineTenure {
  agentEpoch = UNKNOWN_EPOCH;
  sequence = NOTHING_HEARD;
  /** answered our token since we took the share over: its report is all there is on it */
  isVerified = false;
  /** asked since we took the share over */
  isProbed = false;
  /** highest rank of what its reports name while it isn't resolved: says who to ask first, no more */
  reportedPriority = LOWEST_REPORTED_PRIORITY;
  /** a command's fate is unknown: its token must rise before it is used again */
  hasUncertainCommand = false;
  isRaisingToken = false;
  pendingCommandId: number | null = null;
  retryAt: Milliseconds = 0;
  /** commands in a row that got no answer, and since when; heard is not reachable */
  unansweredCommands = 0;
  unansweredSince: Milliseconds | null = null;
  preemptionNoticeUntil: Milliseconds | null = null;
  readonly allocations = new Map<string, Allocation>();
  /** tasks reported that belong to no job or place of ours */
  orphanedTasks: TaskStatus[] = [];
  /** a return to the cloud is wanted, because: */
  releaseReason: ReleaseReason | null = null;
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
  shard = UNASSIGNED_SHARD;
  assignmentRevision = 0;
  moveToShard: number | null = null;
  isRetired = false;
  lastProbeAt: Milliseconds = NEVER;
  /** when it was last told something */
  lastCommandAt: Milliseconds = NEVER;
  /** when another controller last said that it hears it */
  heardByPeerAt: Milliseconds = NEVER;
  /** who said so */
  heardByPeer: string | null = null;
  /** something about it is odd: it is to be asked how it stands */
  probeRequested = false;
  probeRequestedAt: Milliseconds = NEVER;
  /** what its placements take, as long as none changes; see `changed` */
  load: MachineLoad | null = null;
  /** there may be something to command: a start, a stop, or an end to clear away */
  commandsDue = true;
  images = new Map<number, number>();
  imagesWriteQueued = false;
  failedJobs = new Set<string>();
  /** failed here, of jobs whose tasks get done elsewhere */
  failedTaskCount = 0;
  lastErrorAt: Milliseconds = NEVER;
  releaseRetryAt: Milliseconds = 0;
  idleSince: Milliseconds = 0;
  assignmentWriteQueued = false;
  /** takes no more work without accelerators until then: it is being emptied */
  reservedUntil: Milliseconds = NEVER;

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
