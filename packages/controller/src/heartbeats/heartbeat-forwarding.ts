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
const RECENTLY_HEARD_MS = 4000;

/** An unchanged heartbeat is forwarded whole again after this many heartbeat intervals. */
const FORWARD_AGAIN_INTERVALS = 5;

/** What was heard is kept for this many worker leases: late copies of it may come. */
const RETENTION_LEASES = 10;

/** The newest heartbeat of a machine, and what the holder of its shard was sent of it. */
interface HeardMachine {
  heartbeat: Heartbeat;
  heardAt: Milliseconds;
  /** the controller that was last sent a heartbeat whole; null: none */
  forwardedTo: string | null;
  /** the sequence of the heartbeat that was sent whole */
  forwardedSequence: number;
  forwardedAt: Milliseconds;
}

/** Is what a heartbeat says of the task the same? */
function isSameTask(task: TaskStatus, other: TaskStatus | undefined): boolean {
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
  return heartbeat.tasks.every((task, index) => isSameTask(task, other.tasks[index]));
}

/** What the forwarding of heartbeats needs of its controller. */
type HeartbeatForwardingContext = SettingsView & ClusterStateView & PeerDirectory & EffectSink;

/** Keeps and forwards heartbeats that are answered here for other controllers. */
export class HeartbeatForwarding {
  private readonly heardMachines = new Map<string, HeardMachine>();

  constructor(private readonly context: HeartbeatForwardingContext) {}

  /**
   * Takes a heartbeat that is answered here. `holder`: the controller that holds the machine's shard; null: none does. A late
   * copy must not make a silent machine seem alive: only a newer heartbeat counts.
   */
  receive(heartbeat: Heartbeat, holder: string | null, now: Milliseconds): void {
    const previous = this.heardMachines.get(heartbeat.machine);
    if (previous && !isNewer(heartbeat, previous.heartbeat)) return;
    const machine: HeardMachine = {
      heartbeat,
      heardAt: now,
      forwardedTo: previous?.forwardedTo ?? null,
      forwardedSequence: previous?.forwardedSequence ?? NO_SEQUENCE,
      forwardedAt: previous?.forwardedAt ?? NEVER,
    };
    this.heardMachines.set(heartbeat.machine, machine);
    this.forward(machine, previous?.heartbeat ?? null, holder, now);
  }

  /** Machines heard here recently whose heartbeats go on as they were forwarded, by the controller that holds their shard. */
  recentByHolder(now: Milliseconds): Map<string, UnchangedHeartbeat[]> {
    const byHolder = new Map<string, UnchangedHeartbeat[]>();
    const retentionMs = RETENTION_LEASES * this.context.settings.workers.leaseS * 1000;
    for (const [name, machine] of this.heardMachines) {
      if (now - machine.heardAt < RECENTLY_HEARD_MS) this.addUnchanged(byHolder, name, machine);
      else if (now - machine.heardAt > retentionMs) this.heardMachines.delete(name);
    }
    return byHolder;
  }

  /** This process was paused: workers that it did not hear meanwhile were not silent. */
  processPaused(pauseMs: Milliseconds): void {
    for (const machine of this.heardMachines.values()) machine.heardAt += pauseMs;
  }

  /** `previous`: the heartbeat before; null: there was none. */
  private forward(machine: HeardMachine, previous: Heartbeat | null, holder: string | null, now: Milliseconds): void {
    if (holder === null || holder === this.context.settings.name || !this.context.isPeerAlive(holder, now)) {
      machine.forwardedTo = null;
      return;
    }
    const { heartbeat } = machine;
    const isKnownThere = previous !== null && machine.forwardedTo === holder && isSameHeartbeat(previous, heartbeat);
    if (isKnownThere && now - machine.forwardedAt < this.forwardAgainMs) return;
    machine.forwardedTo = holder;
    machine.forwardedSequence = heartbeat.sequence;
    machine.forwardedAt = now;
    this.context.emit({ type: 'forwardHeartbeat', to: holder, heartbeat });
  }

  private get forwardAgainMs(): Milliseconds {
    return FORWARD_AGAIN_INTERVALS * this.context.settings.workers.heartbeatIntervalS * 1000;
  }

  private addUnchanged(
    byHolder: Map<string, UnchangedHeartbeat[]>,
    name: string,
    { heartbeat, forwardedTo, forwardedSequence }: HeardMachine,
  ): void {
    const machine = this.context.clusterState.machines.get(name);
    const holder = machine && this.context.clusterState.leaseOf(machine.shard)?.holder.controller;
    if (!holder) return;
    const forwardedWhole = forwardedTo === holder ? forwardedSequence : heartbeat.sequence;
    appendTo(byHolder, holder, {
      machine: name,
      agentEpoch: heartbeat.agentEpoch,
      sequence: heartbeat.sequence,
      forwardedSequence: forwardedWhole,
    });
  }
}
