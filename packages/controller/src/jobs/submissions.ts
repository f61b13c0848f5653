/** Users' submissions: checked, stored, then answered. */
import { type JobSpec, jobAnswer, parseSubmission, type Submission } from '@archpost/protocol';
import type { Context } from '../context/index.js';
import type { Ms } from '../model/index.js';
import { copies, EPS } from '../scheduling/placement.js';
import { type EncodedJob, encodeAcceptedJob } from '../state/job-record.js';
import { KEY } from '../state/keys.js';
import { URGENCY, type WriteOutcome } from '../state/write-queue.js';
import { NOT_READY, REQUEST_MS, STATE_UNANSWERED, type UserAnswers } from './client-responses.js';
import { statusOf } from './job-status.js';

/** Within this time of a job's acceptance nobody can have been told of its end. */
const PROMPT_MS = 150;

export class Submissions {
  constructor(
    private readonly context: Context,
    private readonly answers: UserAnswers,
  ) {}

  submit(id: number, body: Record<string, unknown> | null, now: Ms, wall: number): void {
    if (!body) return this.answers.answer(id, 400, { error: 'the body is not a MessagePack map' });
    const parsed = parseSubmission(body);
    if ('field' in parsed) return this.answers.answer(id, 400, { error: `field ${parsed.field} is missing or invalid` });
    const { spec } = parsed;
    const final = this.context.table.finals.get(spec.id);
    if (final) return this.answers.answer(id, 200, jobAnswer(spec.id, final));
    const unready = this.context.table.typesKnown ? this.answers.unready(now) : NOT_READY;
    if (unready) return this.answers.busy(id, unready);
    if (this.context.table.jobs.has(spec.id)) return this.known(id, spec.id, now);
    if (this.refusal(parsed)) return this.confirmRefusal(id, parsed, now, wall);
    this.accept(id, parsed, wall, now + REQUEST_MS);
  }

  /** Why the submission is to be refused, by what is known here, or null. */
  private refusal({ spec, awaits }: Submission): string | null {
    const never = this.neverRuns(spec);
    if (never) return never;
    if (awaits.includes(spec.id)) return 'the job awaits itself';
    const unknown = awaits.find((other) => !this.wasAccepted(other));
    return unknown === undefined ? null : `it awaits ${unknown}, which was never accepted`;
  }

  private wasAccepted(job: string): boolean {
    return this.context.table.finals.has(job) || this.context.replica.get(KEY.job(job)) !== null;
  }

  /** The job, or one that it awaits, may have been accepted elsewhere a moment ago: only a newer reading tells. */
  private confirmRefusal(id: number, submission: Submission, now: Ms, wall: number): void {
    const { spec } = submission;
    const until = now + REQUEST_MS;
    this.answers.afterBarrier(id, now, until, () => {
      const state = statusOf(this.context, spec.id);
      const refusal = this.refusal(submission);
      if (state) this.answers.answer(id, 200, jobAnswer(spec.id, state));
      else if (refusal) this.answers.answer(id, 422, { error: refusal });
      else this.accept(id, submission, wall, until);
    });
  }

  /** Stores the job, and answers once it is stored. */
  private accept(id: number, { spec, awaits }: Submission, wall: number, until: Ms): void {
    if (this.answers.crowded) return this.answers.busy(id, 'overloaded');
    const key = KEY.job(spec.id);
    const encoded = this.encode(key, spec, awaits, wall);
    if (!encoded) return this.answers.answer(id, 400, { error: 'its names are too long to be stored' });
    const end = this.answers.once(id, until);
    const unanswered = () => end(() => this.answers.busy(id, STATE_UNANSWERED));
    this.storeParts(spec.id, encoded, until, (stored) => {
      if (!stored) return unanswered();
      this.storeAcceptance(key, encoded.record, until, (outcome, sentAt) => {
        if (outcome === 'ok') end(() => this.accepted(id, spec.id, sentAt));
        else if (outcome === 'conflict') end(() => this.acceptedElsewhere(id, spec.id));
        else unanswered();
      });
    });
  }

  private encode(key: string, spec: JobSpec, awaits: string[], wall: number): EncodedJob | null {
    const { table } = this.context;
    const ordered = spec.types === null ? spec : { ...spec, types: this.knownTypesFirst(spec.types) };
    // What is stored as done needs no edge.
    const open = awaits.filter((other) => table.finals.get(other) !== 'done');
    const encoded = encodeAcceptedJob(key, ordered, open, wall, table.sizes.changeBytes);
    if (encoded === null || encoded.parts.length === 0) return encoded;
    // In parts the whole list is stored, so that a repeated submission finds the same parts.
    return encodeAcceptedJob(key, ordered, awaits, wall, table.sizes.changeBytes);
  }

  /** An older version reads only the machine types that come first: such as it can use serve it best. */
  private knownTypesFirst(types: string[]): string[] {
    const known = new Set(this.context.table.types.flatMap((type) => (type ? [type.name] : [])));
    return [...types.filter((type) => known.has(type)), ...types.filter((type) => !known.has(type))];
  }

  /** The parts come before the record that makes them valid: what is left of a submission that fails harms nobody. */
  private storeParts(job: string, { parts, group }: EncodedJob, until: Ms, then: (stored: boolean) => void): void {
    const { replica, writer } = this.context;
    const missing = parts
      .map((part, index) => ({ part, key: KEY.jobPart(job, group, index) }))
      .filter(({ key }) => replica.get(key) === null);
    let left = missing.length;
    let failed = false;
    if (left === 0) return then(true);
    for (const { part, key } of missing) {
      writer.add({
        key,
        value: () => part,
        guard: 0,
        urgency: URGENCY.accept,
        until,
        done: () => {
          // A key of this name holds the same, whoever wrote it.
          failed ||= replica.get(key) === null;
          left--;
          if (left === 0) then(!failed);
        },
      });
    }
  }

  private storeAcceptance(key: string, record: unknown, until: Ms, then: (outcome: WriteOutcome, sentAt: Ms) => void): void {
    let sentAt = this.context.now;
    this.context.writer.add({
      key,
      value: (at) => {
        sentAt = at;
        return record;
      },
      guard: 0,
      urgency: URGENCY.accept,
      until,
      done: (outcome) => then(outcome, sentAt),
    });
  }

  /** Accepted before: answered with its status after a reading that is newer than the request. */
  private known(id: number, job: string, now: Ms): void {
    this.answers.afterBarrier(id, now, now + REQUEST_MS, () => this.acceptedElsewhere(id, job));
  }

  private acceptedElsewhere(id: number, job: string): void {
    const state = statusOf(this.context, job);
    if (state) this.answers.answer(id, 200, jobAnswer(job, state));
    else this.answers.busy(id, 'try again');
  }

  /**
   * The answer to the transaction may have been long on its way, and the job have run to its end, or been
   * called off at another controller, which has told so: then nothing older than that is said here.
   */
  private accepted(id: number, job: string, sentAt: Ms): void {
    const now = this.context.now;
    if (now - sentAt < PROMPT_MS) this.answers.answer(id, 201, jobAnswer(job, statusOf(this.context, job) ?? 'queued'));
    else this.known(id, job, now);
  }

  /** Why the job can never run, or null. */
  private neverRuns(spec: JobSpec): string | null {
    const { table, settings } = this.context;
    const team = settings.teams.find((t) => t.name === spec.team);
    if (!team) return `unknown team ${spec.team}`;
    const types = table.types.filter((t) => t !== null && t !== undefined);
    const fit = types.some(
      (t) =>
        (spec.types === null || spec.types.includes(t.name)) &&
        copies(spec, t) >= 1 &&
        (spec.zone === null || settings.zones.includes(spec.zone)) &&
        (spec.zone === null || t.zones.length === 0 || t.zones.includes(spec.zone)),
    );
    if (!fit) return 'a task fits no allowed machine type';
    const n = spec.shape === 'array' ? 1 : spec.tasks;
    if (team.cpusMax > 0 && spec.cpus * n > team.cpusMax + EPS) return 'more cpus than the team may use';
    if (team.gpusMax > 0 && spec.gpus * n > team.gpusMax + EPS) return 'more gpus than the team may use';
    return null;
  }
}
