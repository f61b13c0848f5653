/**
 * Tracks whether workers respond to commands and probes, which the failure detector uses to distinguish a fault of this
 * controller from a fault of a machine. Owns the time of the last response and the set of machines that have not responded since.
 */
import type { Machine, Milliseconds } from '../model/index.js';

/** Tracks the responses of all workers as a group. */
export class WorkerResponses {
  private lastResponseTime: Milliseconds = 0;
  /** names of machines that left a command unanswered since `lastResponseTime`, although their heartbeats arrive */
  private readonly unansweredMachines = new Set<string>();

  /** Time of the last response of any worker to a command or probe. */
  get lastResponseAt(): Milliseconds {
    return this.lastResponseTime;
  }

  /**
   * Number of machines that left a command unanswered since the last response of any worker, although their heartbeats arrive.
   */
  get unansweredCount(): number {
    return this.unansweredMachines.size;
  }

  /** Records a response of a worker, or the end of a pause of this process. Missing responses before `now` no longer count. */
  recordResponse(now: Milliseconds): void {
    this.lastResponseTime = now;
    this.unansweredMachines.clear();
  }

  /** Records that a machine left a command unanswered although its heartbeats arrive. */
  recordUnanswered(machine: Machine): void {
    this.unansweredMachines.add(machine.name);
  }

  /** Discards missing responses, because recovery probes show that workers can be reached again. */
  forgetUnanswered(): void {
    this.unansweredMachines.clear();
  }
}
