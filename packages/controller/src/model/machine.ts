/**
 * A machine. The fields are grouped by the component that writes them: the cluster state (stored fields), the holder of the
 * machine's shard lease (observations and intents), and failure attribution.
 */
import type { MachineType, TaskStatus } from '@archpost/protocol';
import type { Allocation } from './job.js';
import type { MachineLoad } from './machine-load.js';
import { type Milliseconds, NEVER } from './time.js';

/** The shard of a machine whose assignment was removed or has not been read yet. */
export const UNASSIGNED_SHARD = -1;

/** The epoch of an agent from which no heartbeat has arrived; actual epochs are larger. */
export const UNKNOWN_EPOCH = 0;

/** The sequence number before the first heartbeat of an agent epoch; actual sequence numbers are larger. */
export const NO_SEQUENCE = -1;

/** The fencing token of an agent that has received none yet. */
export const NO_FENCING_TOKEN = 0;

/** The fencing token of the last start on a machine to which none was sent; actual tokens are larger. */
export const NO_START_TOKEN = 0;

/**
 * Why the machine's fencing token should rise although no command is uncertain: the worker has exited tasks that it may forget
 * only under a higher token. `prompt`: some of them can't start elsewhere before. `background`: there are many.
 */
export type TokenRaise = 'none' | 'background' | 'prompt';

/** The position of a heartbeat among the heartbeats of one incarnation of its agent. All numbers start over with the next one. */
export interface HeartbeatPosition {
  /** increases each time that the worker's lease expires */
  readonly agentEpoch: number;
  /** number of the message within its epoch; heartbeats and responses share one sequence */
  readonly sequence: number;
}

/** The position of a heartbeat, with what distinguishes the incarnations of its agent. */
export interface FencedPosition extends HeartbeatPosition {
  /** the highest fencing token that the agent had received; never decreases within an incarnation */
  readonly fencingToken: number;
}

/** Below every priority: the machine's heartbeats name no job in the cluster state. */
export const NO_REPORTED_PRIORITY = -1;

/** The reason for releasing a machine to the cloud. */
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
 * The observations and decisions of a shard's lease holder about a machine. A new tenure replaces it when the shard's lease is
 * acquired, and when the machine moves to the shard: no decision may depend on an earlier tenure.
 *
 * What may be sent to the machine; the first row whose condition holds applies:
 *
 * | what may be sent | condition |
 * | --- | --- |
 * | nothing: the machine is being released | `releaseReason` is set; `isReleasing` once the request to the cloud was sent |
 * | nothing: a command is in flight | `pendingCommandId` is set |
 * | nothing: the fencing token must be raised | `hasUncertainCommand`; `isRaisingToken` once the rewrite is queued |
 * | a probe | not `isVerified` (`isProbed` once the first was sent), or silent, not responding, or `probeRequested` |
 * | commands | otherwise |
 */
export class MachineTenure {
  // ---- observed: from heartbeats and the responses to commands

  /** increases when the worker's lease expires; its tasks are gone then */
  agentEpoch = UNKNOWN_EPOCH;
  /** sequence number of the newest heartbeat in this epoch */
  sequence = NO_SEQUENCE;
  /** the highest fencing token that the agent had received when it sent that heartbeat */
  fencingToken = NO_FENCING_TOKEN;
  /**
   * the agent restarted, and the fencing token has not been raised since: a heartbeat with a higher epoch may be of an earlier
   * incarnation, which received the same token
   */
  isRestartUnfenced = false;
  /**
   * when the last heartbeat arrived at this controller or a peer, or else when the tenure began; unlike `lastHeartbeatAt`, not
   * shifted by pauses of this process
   */
  lastContactAt: Milliseconds;
  /** the machine has responded to a probe under the current fencing token, so its heartbeats show everything that is on it */
  isVerified = false;
  /** a probe was sent in this tenure, or since the token was last raised; only then does silence count against the machine */
  isProbed = false;
  /** highest priority of the jobs that its heartbeats named before it was verified; used only to order probes */
  reportedPriority = NO_REPORTED_PRIORITY;
  /** consecutive commands without a response; heartbeats don't reset it, since a machine that sends them may be unreachable */
  unansweredCommands = 0;
  unansweredSince: Milliseconds | null = null;
  /** spot machines only: when the cloud preempts the machine; null: no notice */
  preemptionNoticeUntil: Milliseconds | null = null;
  /** tasks in its last heartbeat that belong to no allocation, among them exited tasks that are finished */
  orphanedTasks: TaskStatus[] = [];
  /** whether a task runs on it that belongs to no allocation: the resources that it uses are unknown */
  hasOrphanedWork = false;
  /** number of exited tasks in its last heartbeat */
  exitedTaskCount = 0;

  // ---- intended

  /** by task key */
  readonly allocations = new Map<string, Allocation>();
  /** effect id of the command or probe that has no outcome yet; null: none */
  pendingCommandId: number | null = null;
  /** no command or probe is sent before this time */
  retryAt: Milliseconds = 0;
  /** an earlier command may still be executed: the fencing token must be raised before another command is sent */
  hasUncertainCommand = false;
  /** a rewrite of its assignment, which raises the token, is queued */
  isRaisingToken = false;
  /** as of the last time that commands for the machine were composed */
  tokenRaise: TokenRaise = 'none';
  /** why the machine is to be released; null: it isn't */
  releaseReason: ReleaseReason | null = null;
  /** the release was requested from the cloud, or has been completed */
  isReleasing = false;

  /**
   * `lastHeartbeatAt`: start of the machine's silence; shifted by pauses of this process. `isUnverifiedTakeover`: until the
   * machine is verified, it may run tasks that an earlier holder of the shard lease started and that this controller doesn't
   * know of.
   */
  constructor(
    public lastHeartbeatAt: Milliseconds,
    public isUnverifiedTakeover: boolean,
  ) {
    this.lastContactAt = lastHeartbeatAt;
  }

  /** Records the position of the newest message of the agent. */
  recordPosition({ agentEpoch, sequence, fencingToken }: FencedPosition): void {
    this.agentEpoch = agentEpoch;
    this.sequence = sequence;
    this.fencingToken = fencingToken;
  }

  /**
   * Records that the agent restarted: its numbers start over. Until the fencing token was raised, and the new incarnation has
   * responded under it, no starts are sent, and heartbeats of earlier incarnations can't be distinguished from its own.
   */
  recordAgentRestart(): void {
    this.recordPosition({ agentEpoch: UNKNOWN_EPOCH, sequence: NO_SEQUENCE, fencingToken: NO_FENCING_TOKEN });
    this.isRestartUnfenced = true;
    this.hasUncertainCommand = true;
  }

  /** Restarts the measurement of silence: a heartbeat arrived, or silence is to be measured from `now`. */
  resetContact(now: Milliseconds): void {
    this.lastHeartbeatAt = now;
    this.lastContactAt = now;
  }

  /**
   * Records that the tasks on the machine are known: the machine has responded under the current fencing token, or the cloud has
   * confirmed that nothing runs on it anymore.
   */
  recordVerified(): void {
    this.isVerified = true;
    this.isUnverifiedTakeover = false;
  }

  /**
   * Records that the fencing token was raised: no earlier command can be executed anymore, and the machine has to be probed under
   * the new token.
   */
  recordTokenRaised(): void {
    this.hasUncertainCommand = false;
    this.isRestartUnfenced = false;
    this.isVerified = false;
    this.isProbed = false;
  }
}

/** The parameters for creating a machine, from its assignment. */
export interface MachineIdentity {
  name: string;
  address: string;
  typeIndex: number;
  zoneIndex: number;
  spot: boolean;
  /** null until the cloud's description of the machine type is known */
  capacity: MachineType | null;
}

/** A machine: its stored state, and what this controller has observed and intends. */
export class Machine {
  readonly name: string;
  address: string;
  readonly typeIndex: number;
  readonly zoneIndex: number;
  readonly spot: boolean;
  /** null until the cloud's description of the machine type is known */
  capacity: MachineType | null;
  /** what this controller observed and decided since it acquired the shard's lease, or since the machine joined the shard */
  tenure = new MachineTenure(0, false);

  // ---- stored: written by the cluster state

  shard = UNASSIGNED_SHARD;
  /** revision of its assignment; part of its fencing token */
  assignmentRevision = 0;
  /** the shard that the machine is to be moved to; null: it isn't to be moved */
  moveToShard: number | null = null;
  /** to be released to the cloud once it is idle */
  isRetired = false;

  // ---- observed

  /** sizes in GB of the cached images, by the index of the image's name, least recently used first */
  images = new Map<number, number>();
  /** when another controller last reported that it is in contact with the machine */
  lastPeerContactAt: Milliseconds = NEVER;
  /** name of that controller; null: none has reported contact */
  lastPeerInContact: string | null = null;
  /** since when the machine has no allocations */
  idleSince: Milliseconds = 0;

  // ---- intended: written by the holder of the shard lease

  lastProbeAt: Milliseconds = NEVER;
  /** a probe is requested, for example because a heartbeat contradicts the expected state */
  probeRequested = false;
  probeRequestedAt: Milliseconds = NEVER;
  /** fencing token of the last start that this controller sent to it, in whatever tenure */
  lastStartToken = NO_START_TOKEN;
  /** when a command or probe was last sent to it */
  lastCommandAt: Milliseconds = NEVER;
  /** there may be commands to send: a start, a stop, or the removal of an ended task */
  commandsDue = true;
  imagesWriteQueued = false;
  assignmentWriteQueued = false;
  /** the release isn't requested again before this time */
  releaseRetryAt: Milliseconds = 0;
  /** until then only tasks that need accelerators are placed here, since services are being or were recently evicted */
  reservedUntil: Milliseconds = NEVER;

  // ---- failure history: written by failure attribution

  /** ids of jobs whose tasks failed on this machine, without crash-looping jobs */
  failedJobs = new Set<string>();
  /** number of tasks that failed on this machine, of jobs that failed on no other machine and have tasks that are done */
  failedTaskCount = 0;
  lastErrorAt: Milliseconds = NEVER;

  // ---- derived

  /** cached load, see machine-load.ts; null: to be recomputed */
  load: MachineLoad | null = null;

  constructor({ name, address, typeIndex, zoneIndex, spot, capacity }: MachineIdentity) {
    this.name = name;
    this.address = address;
    this.typeIndex = typeIndex;
    this.zoneIndex = zoneIndex;
    this.spot = spot;
    this.capacity = capacity;
  }

  /** Must be called whenever an allocation is added or removed, exits or is to be stopped, and when the capacity changes. */
  allocationsChanged(): void {
    this.load = null;
    this.commandsDue = true;
  }
}
