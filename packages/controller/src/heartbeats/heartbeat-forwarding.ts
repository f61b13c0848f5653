/**
 * Heartbeats of workers whose shard another controller holds: this controller answers them and forwards them to the holder. A
 * heartbeat that differs from the previous one is forwarded in full; an unchanged one is only listed in this controller's next
 * status. Owns the newest heartbeat of each such worker, and the record of what was forwarded to the holder.
 */
import type { Heartbeat, TaskStatus, UnchangedHeartbeat } from '@archpost/protocol';
import type { ClusterStateView, EffectSink, PeerDirectory, SettingsView } from '../context/index.js';
import { appendTo, type Milliseconds, NEVER, NO_SEQUENCE } from '../model/index.js';
import { isNewerOfAnyIncarnation } from './heartbeat-order.js';

/** The status lists machines whose last heartbeat arrived within this time. */
const RECENT_HEARTBEAT_MS = 4000;

/** Number of heartbeat intervals after which an unchanged heartbeat is forwarded in full again. */
const REFORWARD_INTERVALS = 5;

/** Number of worker leases for which the last heartbeat is kept: late copies of it may still arrive. */
const RETENTION_LEASES = 10;

/** The newest heartbeat of a machine, and what was forwarded to the holder of its shard. */
interface ForwardingState {
  heartbeat: Heartbeat;
  receivedAt: Milliseconds;
  /** the controller to which a heartbeat was last forwarded in full; null: none */
  forwardedTo: string | null;
  /** the sequence of the heartbeat that was last forwarded in full */
  forwardedSequence: number;
  forwardedAt: Milliseconds;
}

/** Whether both statuses report the same attempt of a task in the same state. */
function isSameTaskStatus(task: TaskStatus, other: TaskStatus | undefined): boolean {
  return (
    other !== undefined &&
    task.index === other.index &&
    task.attempt === other.attempt &&
    task.state === other.state &&
    task.job === other.job
  );
}

/**
 * Whether two heartbeats of a worker report the same state. One with a preemption notice always differs, so that it is forwarded.
 */
function isSameHeartbeat(heartbeat: Heartbeat, other: Heartbeat): boolean {
  if (
    heartbeat.agentEpoch !== other.agentEpoch ||
    heartbeat.fencingToken !== other.fencingToken ||
    heartbeat.address !== other.address
  )
    return false;
  if (heartbeat.preemptionNoticeS !== null || other.preemptionNoticeS !== null || heartbeat.tasks.length !== other.tasks.length)
    return false;
  return heartbeat.tasks.every((task, index) => isSameTaskStatus(task, other.tasks[index]));
}

type HeartbeatForwardingContext = SettingsView & ClusterStateView & PeerDirectory & EffectSink;

/** Keeps the heartbeats that this controller answers on behalf of other lease holders, and forwards them to these. */
export class HeartbeatForwarding {
  private readonly forwardingStates = new Map<string, ForwardingState>();

  constructor(private readonly context: HeartbeatForwardingContext) {}

  /**
   * Processes a heartbeat that this controller answers. `holder`: the controller that holds the machine's shard; null: none does.
   * Only a newer heartbeat counts, because a late copy must not make a silent machine appear alive.
   */
  receive(heartbeat: Heartbeat, holder: string | null, now: Milliseconds): void {
    const previous = this.forwardingStates.get(heartbeat.machine);
    if (previous && !isNewerOfAnyIncarnation(heartbeat, previous.heartbeat)) return;
    const state: ForwardingState = {
      heartbeat,
      receivedAt: now,
      forwardedTo: previous?.forwardedTo ?? null,
      forwardedSequence: previous?.forwardedSequence ?? NO_SEQUENCE,
      forwardedAt: previous?.forwardedAt ?? NEVER,
    };
    this.forwardingStates.set(heartbeat.machine, state);
    this.forward(state, previous?.heartbeat ?? null, holder, now);
  }

  /**
   * Returns the machines whose heartbeats this controller received recently and which haven't changed since they were forwarded,
   * by the controller that holds their shard.
   */
  unchangedByHolder(now: Milliseconds): Map<string, UnchangedHeartbeat[]> {
    const byHolder = new Map<string, UnchangedHeartbeat[]>();
    const retentionMs = RETENTION_LEASES * this.context.settings.workers.leaseS * 1000;
    for (const [name, state] of this.forwardingStates) {
      if (now - state.receivedAt < RECENT_HEARTBEAT_MS) this.addUnchanged(byHolder, name, state);
      else if (now - state.receivedAt > retentionMs) this.forwardingStates.delete(name);
    }
    return byHolder;
  }

  /** Adjusts for a pause of this process: workers whose heartbeats it didn't process during the pause were not silent. */
  onProcessPaused(pausedMs: Milliseconds): void {
    for (const state of this.forwardingStates.values()) state.receivedAt += pausedMs;
  }

  /** Forwards the heartbeat if the holder needs it in full. `previous`: the machine's previous heartbeat; null: there is none. */
  private forward(state: ForwardingState, previous: Heartbeat | null, holder: string | null, now: Milliseconds): void {
    if (holder === null || holder === this.context.settings.name || !this.context.isPeerAlive(holder, now)) {
      state.forwardedTo = null;
      return;
    }
    const { heartbeat } = state;
    const isAlreadyForwarded = previous !== null && state.forwardedTo === holder && isSameHeartbeat(previous, heartbeat);
    if (isAlreadyForwarded && now - state.forwardedAt < this.reforwardMs) return;
    state.forwardedTo = holder;
    state.forwardedSequence = heartbeat.sequence;
    state.forwardedAt = now;
    this.context.emit({ type: 'forwardHeartbeat', to: holder, heartbeat });
  }

  private get reforwardMs(): Milliseconds {
    return REFORWARD_INTERVALS * this.context.settings.workers.heartbeatIntervalS * 1000;
  }

  private addUnchanged(
    byHolder: Map<string, UnchangedHeartbeat[]>,
    name: string,
    { heartbeat, forwardedTo, forwardedSequence }: ForwardingState,
  ): void {
    const machine = this.context.clusterState.machines.get(name);
    const holder = machine && this.context.clusterState.leaseOf(machine.shard)?.holder.controller;
    if (!holder) return;
    const sequenceAtHolder = forwardedTo === holder ? forwardedSequence : heartbeat.sequence;
    appendTo(byHolder, holder, {
      machine: name,
      agentEpoch: heartbeat.agentEpoch,
      sequence: heartbeat.sequence,
      forwardedSequence: sequenceAtHolder,
      fencingToken: heartbeat.fencingToken,
    });
  }
}
