/** Users' cancellations: stored, then answered. What follows for other jobs is derived, not written. */
import { JOB_ID, jobAnswer } from '@archpost/protocol';
import type { Context } from '../context/index.js';
import type { Ms } from '../model/index.js';
import { encodeCancelledJob } from '../state/job-record.js';
import { KEY } from '../state/keys.js';
import type { Entry } from '../state/replica.js';
import { URGENCY } from '../state/write-queue.js';
import { NO_SUCH_JOB, REQUEST_MS, type UserAnswers } from './client-responses.js';

export class Cancellations {
  constructor(
    private readonly context: Context,
    private readonly answers: UserAnswers,
  ) {}

  cancel(id: number, job: string, now: Ms): void {
    if (!JOB_ID.test(job)) return this.answers.answer(id, 404, NO_SUCH_JOB);
    const unready = this.answers.unready(now);
    if (unready) return this.answers.busy(id, unready);
    const until = now + REQUEST_MS;
    if (this.tryCancel(id, job, until)) return;
    // It may have been accepted elsewhere a moment ago.
    this.answers.afterBarrier(id, now, until, () => {
      if (!this.tryCancel(id, job, until)) this.answers.answer(id, 404, NO_SUCH_JOB);
    });
  }

  /** False if no record of the job is known here. */
  private tryCancel(id: number, job: string, until: Ms): boolean {
    const final = this.context.table.finals.get(job);
    const entry = this.context.replica.get(KEY.job(job));
    if (final) this.answers.answer(id, 200, jobAnswer(job, final));
    else if (entry) this.store(id, job, entry, until);
    return final !== undefined || entry !== null;
  }

  private store(id: number, job: string, entry: Entry, until: Ms): void {
    const { table, writer } = this.context;
    const key = KEY.job(job);
    const end = this.answers.once(id, until);
    writer.add({
      key,
      value: () => encodeCancelledJob(key, entry.value, table.sizes.changeBytes),
      guard: entry.stamp,
      urgency: URGENCY.cancel,
      until,
      done: (outcome) => {
        if (outcome === 'ok') return end(() => this.answers.answer(id, 200, jobAnswer(job, 'cancelled')));
        // Somebody else wrote first: the replica has it by now.
        const final = table.finals.get(job);
        if (final) end(() => this.answers.answer(id, 200, jobAnswer(job, final)));
        else end(() => this.answers.busy(id, 'try again'));
      },
    });
  }
}
