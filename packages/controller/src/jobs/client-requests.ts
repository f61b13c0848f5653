/** Users' requests, at any controller. */

import type { Context } from '../context/index.js';
import type { Ms } from '../model/index.js';
import { Cancellations } from './cancellations.js';
import { UserAnswers } from './client-responses.js';
import { Questions } from './status-queries.js';
import { Submissions } from './submissions.js';

export class UserRequests {
  private readonly answers: UserAnswers;
  private readonly submissions: Submissions;
  private readonly cancellations: Cancellations;
  private readonly questions: Questions;

  constructor(context: Context) {
    this.answers = new UserAnswers(context);
    this.submissions = new Submissions(context, this.answers);
    this.cancellations = new Cancellations(context, this.answers);
    this.questions = new Questions(context, this.answers);
  }

  /** `wall`: the time of day. */
  submit(id: number, body: Record<string, unknown> | null, now: Ms, wall: Ms): void {
    this.answers.opened();
    this.submissions.submit(id, body, now, wall);
  }

  cancel(id: number, job: string, now: Ms): void {
    this.answers.opened();
    this.cancellations.cancel(id, job, now);
  }

  poll(id: number, job: string, now: Ms): void {
    this.answers.opened();
    this.questions.ask(id, job, now);
  }

  /** Questions wait for a newer reading. */
  get asking(): boolean {
    return this.questions.any;
  }

  /** The replica holds everything that was so at `asOf`. */
  fresh(asOf: Ms): void {
    this.questions.fresh(asOf);
  }

  tick(now: Ms): void {
    this.answers.tick(now);
    this.questions.tick(now);
  }
}
