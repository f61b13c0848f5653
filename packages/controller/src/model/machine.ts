/**
 * A machine. The fields are grouped by who writes them: the cluster state (what is stored), the holder of the machine's shard
 * (what it observed and what it intends), and failure attribution.
 */
import type { MachineType, TaskStatus } from '@archpost/protocol';
import type { Allocation } from './job.js';
import type { MachineLoad } from './machine-load.js';
import { type Milliseconds, NEVER } from './time.js';

/** The shard of a machine whose assignment was removed, or not read yet. */
export const UNASSIGNED_SHARD = -1;

/** The epoch of an agent that has not been heard; real ones are larger. */
export const UNKNOWN_EPOCH = 0;

/** The sequence number before the first heartbeat of an agent. */
export const NOTHING_HEARD = -1;

/** The position of a heartbeat in the order of those of its worker. */
export interface HeartbeatPosition {
  /** rises each time that the worker's agent begins anew */
  readonly agentEpoch: number;
  /** numbers the messages of one epoch, heartbeats and answers alike */
  readonly sequence: number;
}

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
 *
 * Conditions that exclude each other, each decided by the first line that holds:
 *
 * | what may be sent | when |
 * | --- | --- |
 * | nothing: being released | `releaseReason` is set; `isReleasing` once the request to the cloud was sent |
 * | nothing: a command is in flight | `pendingCommandId` is set |
 * | nothing: its fencing token must rise | `hasUncertainCommand`; `isRaisingToken` once the rewrite of its assignment is queued |
 * | a probe | not `isVerified` (`isProbed` once the first was sent), or silent, not answering or `probeRequested` |
 * | commands | otherwise |
 */
export class MachineTenure {
  // ---- observed: from heartbeats and the responses to commands

  /** rises when the agent restarts or its lease expires: then its tasks are gone */
  agentEpoch = UNKNOWN_EPOCH;
  /** of the newest heartbeat in this epoch */
  sequence = NOTHING_HEARD;
  /** when it was heard last, here or by a peer, or its tenure began: unlike `lastHeartbeatAt`, no pause of ours moves it */
  lastContactAt: Milliseconds;
  /** it has answered a probe under our fencing token, so its heartbeats show everything that is on it */
  isVerified = false;
  /** it was probed in this tenure, or since its token was last raised: its silence counts */
  isProbed = false;
  /** highest priority among the jobs that its heartbeats named before it was verified: the order of probes, no more */
  reportedPriority = LOWEST_REPORTED_PRIORITY;
  /** commands in a row that got no answer; heartbeats don't reset it, since a machine that is heard may not be reachable */
  unansweredCommands = 0;
  unansweredSince: Milliseconds | null = null;
  /** spot machine: when the cloud takes it back; null: no notice */
  preemptionNoticeUntil: Milliseconds | null = null;
  /** tasks in its last heartbeat that belong to no allocation */
  orphanedTasks: TaskStatus[] = [];

  // ---- intended

  /** by task key */
  readonly allocations = new Map<string, Allocation>();
  /** the command or probe that has no outcome yet; null: none */
  pendingCommandId: number | null = null;
  /** nothing is sent before this time */
  retryAt: Milliseconds = 0;
  /** a command may be executed yet: the fencing token must rise before another is sent */
  hasUncertainCommand = false;
  /** a rewrite of its assignment, which raises the token, is queued */
  isRaisingToken = false;
  /** null: it stays */
  releaseReason: ReleaseReason | null = null;
  /** a release was requested from the cloud, or has been carried out */
  isReleasing = false;

  /**
   * `lastHeartbeatAt`: silence counts from here; pauses of this process move it. `isUnverifiedTakeover`: the machine may run tasks
   * that an earlier holder of the shard started and that aren't known here, until it is verified.
   */
  constructor(
    public lastHeartbeatAt: Milliseconds,
    public isUnverifiedTakeover: boolean,
  ) {
    this.lastContactAt = lastHeartbeatAt;
  }

  /** It was heard, or its silence counts from now on. */
  beginSilence(now: Milliseconds): void {
    this.lastHeartbeatAt = now;
    this.lastContactAt = now;
  }

  /** What runs on the machine is known: it has answered under our fencing token, or the cloud says that nothing runs any more. */
  recordVerified(): void {
    this.isVerified = true;
    this.isUnverifiedTakeover = false;
  }

  /**
   * The fencing token has risen: no earlier command can be executed any more, and the machine is to be probed under the new
   * one.
   */
  recordTokenRaised(): void {
    this.hasUncertainCommand = false;
    this.isVerified = false;
    this.isProbed = false;
  }
}

/** What a machine is made of, by its assignment. */
export interface MachineIdentity {
  name: string;
  address: string;
  typeIndex: number;
  zoneIndex: number;
  spot: boolean;
  /** null while only the name of its type is known */
  capacity: MachineType | null;
}

/** A machine: what is stored of it, and what this controller knows and intends. */
export class Machine {
  readonly name: string;
  address: string;
  readonly typeIndex: number;
  readonly zoneIndex: number;
  readonly spot: boolean;
  /** null while only the name of its type is known */
  capacity: MachineType | null;
  /** what this controller learned and decided since the machine's shard, or the machine, came to it */
  tenure = new MachineTenure(0, false);

  // ---- stored: written by the cluster state

  shard = UNASSIGNED_SHARD;
  /** revision of its assignment; part of its fencing token */
  assignmentRevision = 0;
  /** the shard that it is to move to; null: it stays */
  moveToShard: number | null = null;
  /** to be released to the cloud once it is idle */
  isRetired = false;

  // ---- observed

  /** index of the image's name to its size in GB, least recently used first */
  images = new Map<number, number>();
  /** when another controller last said that it hears the machine */
  heardByPeerAt: Milliseconds = NEVER;
  /** that controller; null: none has said so */
  heardByPeer: string | null = null;
  /** since when it has had no allocations */
  idleSince: Milliseconds = 0;

  // ---- intended: written by the shard's holder

  lastProbeAt: Milliseconds = NEVER;
  /** something about it doesn't fit what is known: it is to be probed */
  probeRequested = false;
  probeRequestedAt: Milliseconds = NEVER;
  /** when commands other than probes were last sent to it */
  lastCommandAt: Milliseconds = NEVER;
  /** there may be something to command: a start, a stop, or an ended task to forget */
  commandsDue = true;
  imagesWriteQueued = false;
  assignmentWriteQueued = false;
  /** its release isn't requested again before this time */
  releaseRetryAt: Milliseconds = 0;
  /** takes no more tasks without accelerators until then: services are being evicted from it, or were a short time ago */
  reservedUntil: Milliseconds = NEVER;

  // ---- failure history: written by failure attribution

  /** ids of jobs whose tasks failed here, other than crash-looping ones */
  failedJobs = new Set<string>();
  /** tasks that failed here, of jobs that have failed on no other machine and have tasks that are done */
  failedTaskCount = 0;
  lastErrorAt: Milliseconds = NEVER;

  // ---- derived

  /** see machine-load.ts; null: to be computed anew */
  load: MachineLoad | null = null;

  constructor({ name, address, typeIndex, zoneIndex, spot, capacity }: MachineIdentity) {
    this.name = name;
    this.address = address;
    this.typeIndex = typeIndex;
    this.zoneIndex = zoneIndex;
    this.spot = spot;
    this.capacity = capacity;
  }

  /** To be called whenever an allocation is added, removed, ends or is to be stopped, and when the capacity changes. */
  allocationsChanged(): void {
    this.load = null;
    this.commandsDue = true;
  }
}
