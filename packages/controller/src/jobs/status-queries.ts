/** Users' questions about jobs. One reading of the state service answers all that came before it. */
import { JOB_ID } from '@archpost/protocol';
import type { Context } from '../context/index.js';
import type { Ms } from '../model/index.js';
import { NO_SUCH_JOB, STATE_UNANSWERED, type UserAnswers } from './client-responses.js';
import { describeFinal, describeJob } from './job-status.js';

/** Users wait 2 s for an answer to a question. */
const QUESTION_MS = 1700;

interface Question {
  id: number;
  job: string;
  at: Ms;
}

export class Questions {
  /** those that wait for the replica to be as new as they are, in the order they came */
  private readonly waiting: Question[] = [];

  constructor(
    private readonly context: Context,
    private readonly answers: UserAnswers,
  ) {}

  get any(): boolean {
    return this.waiting.length > 0;
  }

  ask(id: number, job: string, now: Ms): void {
    if (!JOB_ID.test(job)) return this.answers.answer(id, 404, NO_SUCH_JOB);
    const final = this.context.table.finals.get(job);
    if (final) return this.answers.answer(id, 200, describeFinal(this.context, job, final));
    const unready = this.answers.unready(now);
    if (unready) return this.answers.busy(id, unready);
    this.waiting.push({ id, job, at: now });
    if (this.waiting.length === 1) this.context.emit({ t: 'barrier', soon: false });
  }

  /** The replica holds everything that was so at `asOf`: what was asked by then is answered, alike for one job. */
  fresh(asOf: Ms): void {
    const descriptions = new Map<string, ReturnType<typeof describeJob>>();
    for (const { id, job } of this.takeWhile((question) => question.at <= asOf)) {
      const known = descriptions.get(job);
      const description = known === undefined ? describeJob(this.context, job) : known;
      descriptions.set(job, description);
      if (description) this.answers.answer(id, 200, description);
      else this.answers.answer(id, 404, NO_SUCH_JOB);
    }
  }

  tick(now: Ms): void {
    for (const { id } of this.takeWhile((question) => now > question.at + QUESTION_MS)) this.answers.busy(id, STATE_UNANSWERED);
  }

  private takeWhile(holds: (question: Question) => boolean): Question[] {
    const end = this.waiting.findIndex((question) => !holds(question));
    return this.waiting.splice(0, end < 0 ? this.waiting.length : end);
  }
}
