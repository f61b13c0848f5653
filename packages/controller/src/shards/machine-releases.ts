/**
 * Releases of machines to the cloud, in batches, until the cloud confirms them. A machine that is marked is released whether or
 * not it recovers meanwhile, unless it was marked for its silence. Owns the requests that are pending.
 */
import { MAX_MACHINES_PER_RELEASE } from '@archpost/protocol';
import { hasCancelledWork, type TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, EffectSink, Logger } from '../context/index.js';
import { type Machine, type Milliseconds, type ReleaseReason, toLoggedSeconds } from '../model/index.js';
import type { AssignmentUpdates } from './assignment-updates.js';
import type { MachineSilence } from './machine-silence.js';

/** Requests are made this often at most. */
const RELEASE_INTERVAL_MS = 300;

/** A release that failed is tried again after this long. */
const RELEASE_RETRY_MS = 1500;

/** What the releases need of their controller. */
type MachineReleasesContext = ClusterStateView & EffectSink & Logger;

/** Releases machines of the shards held here. */
export class MachineReleases {
  /** by effect id */
  private readonly pendingReleases = new Map<number, readonly Machine[]>();
  private nextRequestAt: Milliseconds = 0;

  constructor(
    private readonly context: MachineReleasesContext,
    private readonly allocations: TaskAllocations,
    private readonly assignmentUpdates: AssignmentUpdates,
    private readonly silence: MachineSilence,
  ) {}

  /** The machine is to be released; from now on it gets neither commands nor probes. */
  mark(machine: Machine, reason: ReleaseReason, now: Milliseconds): void {
    const { tenure } = machine;
    tenure.releaseReason = reason;
    machine.releaseRetryAt = 0;
    this.context.log('info', 'releasing machine', {
      machine: machine.name,
      zone: this.context.clusterState.zoneNames.nameOf(machine.zoneIndex),
      reason,
      tasks: tenure.allocations.size,
      // What the decision rests on: when it was heard last, how much of that time was readable here, and what it didn't answer.
      contactAgeS: toLoggedSeconds(now - tenure.lastContactAt),
      readableS: toLoggedSeconds(this.silence.heardMsSince(tenure.lastContactAt, now)),
      unanswered: tenure.unansweredCommands,
    });
  }

  /** Is the machine marked, and no request for it pending or just failed? */
  isDue({ tenure, releaseRetryAt }: Machine, now: Milliseconds): boolean {
    return tenure.releaseReason !== null && !tenure.isReleasing && now >= releaseRetryAt;
  }

  /** Releases as many of the machines, which are due, as a request takes, unless one was made a moment ago. */
  request(due: readonly Machine[], now: Milliseconds): void {
    if (due.length === 0 || now < this.nextRequestAt) return;
    const id = this.context.nextEffectId();
    const batch = this.cancelledWorkFirst(due).slice(0, MAX_MACHINES_PER_RELEASE);
    for (const machine of batch) machine.tenure.isReleasing = true;
    this.pendingReleases.set(id, batch);
    this.nextRequestAt = now + RELEASE_INTERVAL_MS;
    this.context.emit({ type: 'release', id, machines: batch.map((machine) => machine.name) });
  }

  /** The cloud has answered a request, or has not. `isReleased`: the machines, and everything on them, are gone. */
  handleOutcome(id: number, isReleased: boolean, now: Milliseconds): void {
    const machines = this.pendingReleases.get(id);
    if (!machines) return;
    this.pendingReleases.delete(id);
    for (const machine of machines) {
      machine.tenure.isReleasing = false;
      machine.releaseRetryAt = now + RELEASE_RETRY_MS;
      if (isReleased && this.allocations.heldShards.has(machine.shard)) this.recordReleased(machine);
    }
  }

  /** Its tasks run nowhere now and can be placed anew. */
  private recordReleased(machine: Machine): void {
    machine.tenure.isReleasing = true;
    machine.tenure.recordVerified();
    for (const allocation of [...machine.tenure.allocations.values()]) this.allocations.free(allocation);
    this.assignmentUpdates.removeAssignment(machine);
  }

  private cancelledWorkFirst(machines: readonly Machine[]): Machine[] {
    const urgent = new Set(machines.filter(hasCancelledWork));
    return [...urgent, ...machines.filter((machine) => !urgent.has(machine))];
  }
}
