/**
 * Whether workers answer commands and probes at all: what the failure detector needs to tell a fault of this controller from
 * one of a machine. Owns the time of the last answer, and the machines that have not answered since.
 */
import type { Machine, Milliseconds } from '../model/index.js';

/** The answers of all workers together. */
export class WorkerAnswers {
  private lastAnswerTime: Milliseconds = 0;
  /** names of machines that have not answered since, though their heartbeats come */
  private readonly unansweredMachines = new Set<string>();

  /** When a worker last answered a command or probe. */
  get lastAnswerAt(): Milliseconds {
    return this.lastAnswerTime;
  }

  /** Machines that have not answered since the last answer of any worker, though their heartbeats come. */
  get unansweredCount(): number {
    return this.unansweredMachines.size;
  }

  /** A worker answered, or a pause of this process ended: until `now` nothing is held against those that didn't answer. */
  recordAnswer(now: Milliseconds): void {
    this.lastAnswerTime = now;
    this.unansweredMachines.clear();
  }

  /** The machine did not answer, though its heartbeats come. */
  recordUnanswered(machine: Machine): void {
    this.unansweredMachines.add(machine.name);
  }

  /** Workers can be reached again, as a probe for recovery shows. */
  forgetUnanswered(): void {
    this.unansweredMachines.clear();
  }
}
