/**
 * Heartbeats of workers whose shard another controller holds: they are answered here, and the holder is sent what they say. A
 * heartbeat that differs from the one before is forwarded whole; that nothing changed goes with the next status of this
 * controller. Owns the newest heartbeat of each such worker, and what the holder was sent of it.
 */
import type { Heartbeat, TaskStatus, UnchangedHeartbeat } from '@archpost/protocol';
import type { ClusterStateView, EffectSink, PeerDirectory, SettingsView } from '../context/index.js';
import { appendTo, type Milliseconds, NEVER, NO_SEQUENCE } from '../model/index.js';
import { isNewer } from './heartbeat-order.js';

/** The status names machines heard within this time. */
const RECENT_HEARTBEAT_MS = 4000;

/** An unchanged heartbeat is forwarded whole again after this many heartbeat intervals. */
const REFORWARD_INTERVALS = 5;

/** What was heard is kept for this many worker leases: late copies of it may come. */
const RETENTION_LEASES = 10;

/** The newest heartbeat of a machine, and what the holder of its shard was sent of it. */
interface ForwardingState {
  heartbeat: Heartbeat;
  receivedAt: Milliseconds;
  /** the controller that was last sent a heartbeat whole; null: none */
  forwardedTo: string | null;
  /** the sequence of the heartbeat that was sent whole */
  forwardedSequence: number;
  forwardedAt: Milliseconds;
}

/** Is what a heartbeat says of the task the same? */
function isSameTaskStatus(task: TaskStatus, other: TaskStatus | undefined): boolean {
  return (
    other !== undefined &&
    task.index === other.index &&
    task.attempt === other.attempt &&
    task.state === other.state &&
    task.job === other.job
  );
}

/** Does a heartbeat say the same as the other of its worker? A preemption notice is sent each time. */
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

/** What the forwarding of heartbeats needs of its controller. */
type HeartbeatForwardingContext = SettingsView & ClusterStateView & PeerDirectory & EffectSink;

/** Keeps and forwards heartbeats that are answered here for other controllers. */
export class HeartbeatForwarding {
  private readonly forwardingStates = new Map<string, ForwardingState>();

  constructor(private readonly context: HeartbeatForwardingContext) {}

  /**
   * Takes a heartbeat that is answered here. `holder`: the controller that holds the machine's shard; null: none does. A late
   * copy must not make a silent machine seem alive: only a newer heartbeat counts.
   */
  receive(heartbeat: Heartbeat, holder: string | null, now: Milliseconds): void {
    const previous = this.forwardingStates.get(heartbeat.machine);
    if (previous && !isNewer(heartbeat, previous.heartbeat)) return;
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

  /** Machines heard here recently whose heartbeats go on as they were forwarded, by the controller that holds their shard. */
  unchangedByHolder(now: Milliseconds): Map<string, UnchangedHeartbeat[]> {
    const byHolder = new Map<string, UnchangedHeartbeat[]>();
    const retentionMs = RETENTION_LEASES * this.context.settings.workers.leaseS * 1000;
    for (const [name, state] of this.forwardingStates) {
      if (now - state.receivedAt < RECENT_HEARTBEAT_MS) this.addUnchanged(byHolder, name, state);
      else if (now - state.receivedAt > retentionMs) this.forwardingStates.delete(name);
    }
    return byHolder;
  }

  /** This process was paused: workers that it did not hear meanwhile were not silent. */
  processPaused(pausedMs: Milliseconds): void {
    for (const state of this.forwardingStates.values()) state.receivedAt += pausedMs;
  }

  /** `previous`: the heartbeat before; null: there was none. */
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
    });
  }
}
