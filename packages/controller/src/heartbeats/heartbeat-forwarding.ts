/**
 * Reports of workers whose machine another controller owns: they are answered here, and the owner is told what
 * they say. A report that differs from the last one is forwarded whole; that nothing changed goes with the status.
 */
import type { Heartbeat, TaskStatus, UnchangedHeartbeat } from '@archpost/protocol';
import type { ClusterStateView, EffectSink, PeerDirectory, SettingsView } from '../context/index.js';
import { type Milliseconds, NEVER } from '../model/index.js';
import { isNewer } from './heartbeat-order.js';

/** A machine heard within this time is named in the status. */
const RECENTLY_HEARD_MS = 4000;

/** An unchanged report is forwarded whole again after so many report intervals. */
const FORWARD_AGAIN_INTERVALS = 5;

/** What was heard is kept for so many leases: late copies of it may come. */
const RETENTION_LEASES = 10;

/** The newest report of a machine, and what its owner was told of it. */
interface HeardMachine {
  heartbeat: Heartbeat;
  heardAt: Milliseconds;
  /** who was last sent a report whole; null: nobody */
  forwardedTo: string | null;
  /** number of the report that was sent whole, and when */
  forwardedSequence: number;
  forwardedAt: Milliseconds;
}

function isSameTask(task: TaskStatus, other: TaskStatus): boolean {
  return task.index === other.index && task.attempt === other.attempt && task.state === other.state && task.job === other.job;
}

function isSameHeartbeat(heartbeat: Heartbeat, other: Heartbeat): boolean {
  if (
    heartbeat.agentEpoch !== other.agentEpoch ||
    heartbeat.fencingToken !== other.fencingToken ||
    heartbeat.address !== other.address
  )
    return false;
  if (heartbeat.preemptionNoticeS !== null || other.preemptionNoticeS !== null || heartbeat.tasks.length !== other.tasks.length)
    return false;
  return heartbeat.tasks.every((task, index) => isSameTask(task, other.tasks[index] as TaskStatus));
}

/** What the heartbeat forwarding needs of its controller. */
type HeartbeatForwardingContext = SettingsView & ClusterStateView & PeerDirectory & EffectSink;

export class HeartbeatForwarding {
  private readonly heardMachines = new Map<string, HeardMachine>();

  constructor(private readonly context: HeartbeatForwardingContext) {}

  /** A late copy must not make a silent machine seem alive: only what is newer counts. */
  receive(heartbeat: Heartbeat, holder: string | null, now: Milliseconds): void {
    const previous = this.heardMachines.get(heartbeat.machine);
    if (previous && !isNewer(heartbeat, previous.heartbeat)) return;
    const machine: HeardMachine = {
      heartbeat,
      heardAt: now,
      forwardedTo: previous?.forwardedTo ?? null,
      forwardedSequence: previous?.forwardedSequence ?? -1,
      forwardedAt: previous?.forwardedAt ?? NEVER,
    };
    this.heardMachines.set(heartbeat.machine, machine);
    if (holder === null || holder === this.context.settings.name || !this.context.isPeerAlive(holder, now)) {
      machine.forwardedTo = null;
      return;
    }
    const forwardAgainMs = FORWARD_AGAIN_INTERVALS * this.context.settings.workers.heartbeatIntervalS * 1000;
    if (
      previous &&
      machine.forwardedTo === holder &&
      isSameHeartbeat(previous.heartbeat, heartbeat) &&
      now - machine.forwardedAt < forwardAgainMs
    )
      return;
    machine.forwardedTo = holder;
    machine.forwardedSequence = heartbeat.sequence;
    machine.forwardedAt = now;
    this.context.emit({ type: 'forwardHeartbeat', to: holder, heartbeat });
  }

  /** The machines heard here lately, by the controller that owns them. */
  recentByHolder(now: Milliseconds): Map<string, UnchangedHeartbeat[]> {
    const byHolder = new Map<string, UnchangedHeartbeat[]>();
    const retentionMs = RETENTION_LEASES * this.context.settings.workers.leaseS * 1000;
    for (const [name, machine] of this.heardMachines) {
      if (now - machine.heardAt < RECENTLY_HEARD_MS) this.addUnchanged(byHolder, name, machine);
      else if (now - machine.heardAt > retentionMs) this.heardMachines.delete(name);
    }
    return byHolder;
  }

  private addUnchanged(
    byHolder: Map<string, UnchangedHeartbeat[]>,
    name: string,
    { heartbeat, forwardedTo, forwardedSequence }: HeardMachine,
  ): void {
    const machine = this.context.clusterState.machines.get(name);
    const holder = machine && this.context.clusterState.leaseOf(machine.shard)?.holder.controller;
    if (!holder) return;
    const list = byHolder.get(holder) ?? [];
    if (list.length === 0) byHolder.set(holder, list);
    const forwardedWhole = forwardedTo === holder ? forwardedSequence : heartbeat.sequence;
    list.push({
      machine: name,
      agentEpoch: heartbeat.agentEpoch,
      sequence: heartbeat.sequence,
      forwardedSequence: forwardedWhole,
    });
  }

  /** This process stood still: what was silent meanwhile was not heard because of that. */
  processPaused(ms: Milliseconds): void {
    for (const machine of this.heardMachines.values()) machine.heardAt += ms;
  }
}
