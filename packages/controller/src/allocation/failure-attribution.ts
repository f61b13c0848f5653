import type { Context } from '../context/index.js';
import type { Job, Machine, Ms, Placement } from '../model/index.js';

/** A job that failed on so many machines, and never went well, is taken for broken. */
const BROKEN_MACHINES = 3;

/** What runs for this long without an error goes well: mistakes show at the start. */
const WELL_MS = 10_000;

/** A machine on which two jobs failed that prove nothing yet takes no work meanwhile, for so long at most. */
const DOUBT_MS = 30_000;

/** A broken job is tried again after this long, twice as long each time, up to a minute. */
const RETRY_MS = 2000;
const LONGEST_RETRY_MS = 60_000;

/** Tasks of a broken job that are tried at once: those that never were, one by one afterwards. */
const TRIES = 8;

/**
 * Whose fault is it when a task fails? A faulty machine fails whatever comes to it, a job
 * submitted with a mistake fails wherever it goes. Failures of a job that went well anywhere
 * tell against the machine; those of a job that fails on several machines tell against the
 * job, and what it cast on machines before is taken back.
 */
export class Blame {
  constructor(private readonly context: Context) {}

  /** Has any of it gone well? */
  private proven(j: Job, now: Ms): boolean {
    if (j.doneCount > 0 || j.wentWell) return true;
    for (const p of j.placements.values()) {
      if (p.phase === 'there' && p.ranSince >= 0 && now - p.ranSince >= WELL_MS) {
        j.wentWell = true;
        return true;
      }
    }
    return false;
  }

  /** It fails wherever it goes, until its user cancels it. */
  broken(j: Job): boolean {
    return j.brokenSince >= 0;
  }

  faulty(m: Machine, now: Ms): boolean {
    if (m.errorTasks >= 3) return true;
    if (m.errorJobs.size < 2) return false;
    let onlyHere = 0;
    for (const id of m.errorJobs) {
      const j = this.context.table.jobs.get(id);
      if (!j) continue;
      if (this.proven(j, now)) return true;
      if (j.failedOn.size === 1) onlyHere++;
    }
    // Nothing of them has run elsewhere since, well or not.
    return onlyHere >= 2 && now - m.lastErrorAt > DOUBT_MS / 2;
  }

  /** Two jobs failed there, and it isn't known yet whose fault it is. */
  doubtful(m: Machine, now: Ms): boolean {
    return m.errorJobs.size >= 2 && now - m.lastErrorAt < DOUBT_MS;
  }

  failed(p: Placement, now: Ms): void {
    const { job: j, machine: m } = p;
    j.failures++;
    j.failedOn.add(m.name);
    this.context.log('debug', 'task failed', {
      task: `${j.spec.id}/${p.index}`,
      machine: m.name,
      jobMachines: j.failedOn.size,
      machineJobs: m.errorJobs.size,
    });
    if (!this.broken(j) && j.failedOn.size >= BROKEN_MACHINES && !this.proven(j, now)) this.breaks(j, now);
    if (this.broken(j)) return;
    m.errorJobs.add(j.spec.id);
    m.lastErrorAt = now;
    if (j.doneCount > 0 && j.failedOn.size === 1) m.errorTasks++;
    if (j.spec.shape === 'gang') j.notBefore = now + 300;
  }

  private breaks(j: Job, now: Ms): void {
    j.brokenSince = now;
    j.retries = 0;
    for (const name of j.failedOn) this.context.table.machines.get(name)?.errorJobs.delete(j.spec.id);
    this.context.log('info', 'a job fails on every machine', { job: j.spec.id, machines: j.failedOn.size });
  }

  /** A task was done: its job is well after all, and what began after a machine's last failure clears the machine. */
  done(p: Placement): void {
    const { job: j, machine: m } = p;
    if (p.ranSince > m.lastErrorAt) {
      m.errorJobs.clear();
      m.errorTasks = 0;
    }
    if (!this.broken(j)) return;
    j.brokenSince = -1;
    j.notBefore = 0;
    // It was the machines, then.
    for (const name of j.failedOn) this.context.table.machines.get(name)?.errorJobs.add(j.spec.id);
    this.context.log('info', 'a job that failed goes well', { job: j.spec.id });
  }

  /** A faulty machine goes: what failed there says nothing about the jobs. */
  convicted(m: Machine): void {
    for (const id of m.errorJobs) {
      const j = this.context.table.jobs.get(id);
      if (!j) continue;
      j.failedOn.delete(m.name);
      j.notBefore = 0;
    }
  }

  /** How many tasks of a broken job are tried now; the next time is put off. */
  tries(j: Job, now: Ms): number {
    const fresh = j.spec.tasks - j.cursor;
    if (fresh > 0 && j.spec.shape !== 'gang') {
      j.notBefore = now + RETRY_MS;
      return Math.min(TRIES, fresh);
    }
    j.notBefore = now + Math.min(LONGEST_RETRY_MS, RETRY_MS * 2 ** Math.min(5, j.retries++));
    return j.spec.shape === 'gang' ? j.spec.tasks : 1;
  }
}
