/**
 * Releases machines to the cloud in batches, and retries until the cloud confirms. A marked machine is released even if it
 * recovers in the meantime, unless it was marked as silent. Owns the pending requests.
 */
import { MAX_MACHINES_PER_RELEASE } from '@archpost/protocol';
import { hasCancelledWork, type TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, EffectSink, Logger } from '../context/index.js';
import { type Machine, type Milliseconds, type ReleaseReason, toLoggedSeconds } from '../model/index.js';
import type { AssignmentUpdates } from './assignment-updates.js';
import type { MachineSilence } from './machine-silence.js';

/** Minimum interval between requests. */
const RELEASE_INTERVAL_MS = 300;

/** Delay before a failed release is retried. */
const RELEASE_RETRY_MS = 1500;

/** The parts of the controller's context that `MachineReleases` uses. */
type MachineReleasesContext = ClusterStateView & EffectSink & Logger;

/** Releases machines of the held shards. */
export class MachineReleases {
  /** the machines of each pending request, by effect id */
  private readonly pendingReleases = new Map<number, readonly Machine[]>();
  private nextRequestAt: Milliseconds = 0;

  constructor(
    private readonly context: MachineReleasesContext,
    private readonly allocations: TaskAllocations,
    private readonly assignmentUpdates: AssignmentUpdates,
    private readonly silence: MachineSilence,
  ) {}

  /** Marks the machine for release. From then on it is sent neither commands nor probes. */
  mark(machine: Machine, reason: ReleaseReason, now: Milliseconds): void {
    const { tenure } = machine;
    tenure.releaseReason = reason;
    machine.releaseRetryAt = 0;
    this.context.log('info', 'releasing machine', {
      machine: machine.name,
      zone: this.context.clusterState.zoneNames.nameOf(machine.zoneIndex),
      reason,
      tasks: tenure.allocations.size,
      // The evidence for the decision: age of the last contact, for how much of it inputs were read, and unanswered commands.
      contactAgeS: toLoggedSeconds(now - tenure.lastContactAt),
      readableS: toLoggedSeconds(this.silence.readableMsSince(tenure.lastContactAt, now)),
      unanswered: tenure.unansweredCommands,
    });
  }

  /** Whether the machine is marked, no request for it is pending, and the delay after a failed one has passed. */
  isDue({ tenure, releaseRetryAt }: Machine, now: Milliseconds): boolean {
    return tenure.releaseReason !== null && !tenure.isReleasing && now >= releaseRetryAt;
  }

  /**
   * Requests the release of the machines in `due`, up to the limit of a request and those with cancelled work first. Does nothing
   * within `RELEASE_INTERVAL_MS` of the previous request.
   */
  request(due: readonly Machine[], now: Milliseconds): void {
    if (due.length === 0 || now < this.nextRequestAt) return;
    const id = this.context.nextEffectId();
    const batch = this.cancelledWorkFirst(due).slice(0, MAX_MACHINES_PER_RELEASE);
    for (const machine of batch) machine.tenure.isReleasing = true;
    this.pendingReleases.set(id, batch);
    this.nextRequestAt = now + RELEASE_INTERVAL_MS;
    this.context.emit({ type: 'release', id, machines: batch.map((machine) => machine.name) });
  }

  /** Processes the outcome of a request. `isReleased`: the cloud confirmed that the machines, and all tasks on them, are gone. */
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

  /** Frees the allocations of a released machine, so that its tasks can be placed again, and removes its assignment. */
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
