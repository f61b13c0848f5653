import { JOB_ID, type JobSpec, jobAnswer, parseSubmission, type Submission } from '@archpost/wire';
import type { Context } from './context.js';
import { type EncodedJob, encodeAcceptedJob, encodeCancelledJob, readJobRecord } from './job-record.js';
import type { Job, Ms } from './model.js';
import { copies } from './placement.js';
import { KEY } from './table.js';
import { URGENCY, type WriteOutcome } from './writer.js';

/** Users wait 5 s for an answer to a submission and 2 s for one to a poll. */
const SUBMIT_MS = 4000;
const POLL_MS = 1700;

/** Within this time of a job's acceptance nobody can have been told of its end. */
const PROMPT_MS = 150;

const NO_SUCH_JOB = { error: 'no such job' };

/** Users' requests, at any controller. */
export class Desk {
  private open = 0;

  constructor(private readonly cx: Context) {}

  private answer(id: number, status: number, body: unknown, retryAfterS?: number): void {
    this.open--;
    this.cx.emit(retryAfterS === undefined ? { t: 'answer', id, status, body } : { t: 'answer', id, status, body, retryAfterS });
  }

  private busy(id: number, why: string): void {
    this.answer(id, 503, { error: why }, 1);
  }

  /**
   * So many wait already that one more would only make all of them late, or that connections
   * which workers need would go to users.
   */
  private crowded(): boolean {
    return this.open > this.cx.settings.sockets / 8 || this.cx.writer.length > 6 * this.cx.settings.state.writeRps;
  }

  submit(id: number, body: Record<string, unknown> | null, now: Ms, wall: number): void {
    this.open++;
    if (!body) return this.answer(id, 400, { error: 'the body is not a MessagePack map' });
    const parsed = parseSubmission(body);
    if ('field' in parsed) return this.answer(id, 400, { error: `field ${parsed.field} is missing or invalid` });
    const { spec } = parsed;
    const final = this.cx.table.finals.get(spec.id);
    if (final) return this.answer(id, 200, jobAnswer(spec.id, final));
    if (!this.cx.replica.loaded || !this.cx.table.typesKnown) return this.busy(id, 'not ready');
    if (!this.cx.storeOk(now)) return this.busy(id, 'the state service does not answer');
    if (this.cx.table.jobs.has(spec.id)) return this.known(id, spec.id, now);
    if (this.refusal(parsed)) return this.confirmRefusal(id, parsed, now, wall);
    this.accept(id, parsed, wall, now + SUBMIT_MS);
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
    return this.cx.table.finals.has(job) || this.cx.replica.get(KEY.job(job)) !== null;
  }

  /** The job, or one that it awaits, may have been accepted elsewhere a moment ago: only a newer reading tells. */
  private confirmRefusal(id: number, submission: Submission, now: Ms, wall: number): void {
    const { spec } = submission;
    const until = now + SUBMIT_MS;
    this.cx.afterBarrier(
      now,
      () => {
        const state = this.state(spec.id);
        const refusal = this.refusal(submission);
        if (state) this.answer(id, 200, jobAnswer(spec.id, state));
        else if (refusal) this.answer(id, 422, { error: refusal });
        else this.accept(id, submission, wall, until);
      },
      until,
      () => this.busy(id, 'the state service does not answer'),
    );
  }

  /** Stores the job, and answers once it is stored. */
  private accept(id: number, { spec, awaits }: Submission, wall: number, until: Ms): void {
    if (this.crowded()) return this.busy(id, 'overloaded');
    const key = KEY.job(spec.id);
    const encoded = this.encode(key, spec, awaits, wall);
    if (!encoded) return this.answer(id, 400, { error: 'its names are too long to be stored' });
    let over = false;
    const end = (answer: () => void) => {
      if (over) return;
      over = true;
      answer();
    };
    const unanswered = () => end(() => this.busy(id, 'the state service does not answer'));
    this.storeParts(spec.id, encoded, until, (stored) => {
      if (!stored || over) return unanswered();
      this.storeAcceptance(key, encoded.record, until, (outcome, sentAt) => {
        if (outcome === 'ok') end(() => this.accepted(id, spec.id, sentAt));
        else if (outcome === 'conflict') end(() => this.acceptedElsewhere(id, spec.id));
        else unanswered();
      });
    });
    this.expire(until, unanswered);
  }

  private encode(key: string, spec: JobSpec, awaits: string[], wall: number): EncodedJob | null {
    const { table } = this.cx;
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
    const known = new Set(this.cx.table.types.flatMap((type) => (type ? [type.name] : [])));
    return [...types.filter((type) => known.has(type)), ...types.filter((type) => !known.has(type))];
  }

  /** The parts come before the record that makes them valid: what is left of a submission that fails harms nobody. */
  private storeParts(job: string, { parts, group }: EncodedJob, until: Ms, then: (stored: boolean) => void): void {
    const { replica, writer } = this.cx;
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
    let sentAt = this.cx.now;
    this.cx.writer.add({
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

  private acceptedElsewhere(id: number, job: string): void {
    const state = this.state(job);
    if (state) this.answer(id, 200, jobAnswer(job, state));
    else this.busy(id, 'try again');
  }

  /**
   * The answer to the transaction may have been long on its way, and the job have run to its end, or been
   * called off at another controller, which has told so: then nothing older than that is said here.
   */
  private accepted(id: number, job: string, sentAt: Ms): void {
    const now = this.cx.now;
    if (now - sentAt < PROMPT_MS) this.answer(id, 201, jobAnswer(job, this.state(job) ?? 'queued'));
    else this.known(id, job, now);
  }

  private readonly timers: { at: Ms; run: () => void }[] = [];

  /** Kept in the order of their times: what waited for a reading first has less left. */
  private expire(at: Ms, run: () => void): void {
    let i = this.timers.length;
    while (i > 0 && (this.timers[i - 1] as { at: Ms }).at > at) i--;
    this.timers.splice(i, 0, { at, run });
  }

  tick(now: Ms): void {
    while (this.timers.length > 0 && (this.timers[0] as { at: Ms }).at <= now) this.timers.shift()?.run();
    let n = 0;
    while (n < this.questions.length && now > (this.questions[n] as { at: Ms }).at + POLL_MS) n++;
    for (const { id } of this.questions.splice(0, n)) this.busy(id, 'the state service does not answer');
  }

  private known(id: number, job: string, now: Ms): void {
    this.cx.afterBarrier(
      now,
      () => {
        const state = this.state(job);
        if (state) this.answer(id, 200, jobAnswer(job, state));
        else this.busy(id, 'try again');
      },
      now + SUBMIT_MS,
      () => this.busy(id, 'the state service does not answer'),
    );
  }

  private state(id: string): 'queued' | 'running' | 'done' | 'cancelled' | null {
    const final = this.cx.table.finals.get(id);
    if (final) return final;
    const job = this.cx.table.jobs.get(id);
    if (!job) return null;
    return this.counts(job).running > 0 ? 'running' : 'queued';
  }

  private counts(job: Job): { done: number; running: number; failed: number } {
    let running = 0;
    for (const p of job.placements.values()) if (p.phase === 'there' && p.report?.state === 'running') running++;
    let done = job.doneCount;
    let failed = job.brokenSince >= 0 ? job.failures : 0;
    if (running === 0) {
      for (const peer of this.cx.peers.values()) {
        const r = peer.running.get(job.spec.id);
        if (r) {
          running = Math.max(running, r.count);
          done = Math.max(done, r.done);
          failed = Math.max(failed, r.failed);
        }
      }
    }
    return { done: Math.min(done, job.spec.tasks), running, failed };
  }

  poll(id: number, job: string, now: Ms): void {
    this.open++;
    if (!JOB_ID.test(job)) return this.answer(id, 404, NO_SUCH_JOB);
    const final = this.cx.table.finals.get(job);
    if (final) return this.answer(id, 200, this.finalAnswer(job, final));
    if (!this.cx.replica.loaded) return this.busy(id, 'not ready');
    if (!this.cx.storeOk(now)) return this.busy(id, 'the state service does not answer');
    this.questions.push({ id, job, at: now });
    if (this.questions.length === 1) this.cx.emit({ t: 'barrier', soon: false });
  }

  /** Questions that wait for the replica to be as new as they are, in the order they came. */
  private questions: { id: number; job: string; at: Ms }[] = [];

  get asking(): boolean {
    return this.questions.length > 0;
  }

  /**
   * The replica holds everything that was so at `asOf`: what was asked by then is answered,
   * all questions about one job alike. One reading serves however many they are.
   */
  fresh(asOf: Ms): void {
    let n = 0;
    while (n < this.questions.length && (this.questions[n] as { at: Ms }).at <= asOf) n++;
    const answers = new Map<string, { status: number; body: unknown }>();
    for (const { id, job } of this.questions.splice(0, n)) {
      let a = answers.get(job);
      if (!a) {
        a = this.reading(job);
        answers.set(job, a);
      }
      this.answer(id, a.status, a.body);
    }
  }

  private reading(job: string): { status: number; body: unknown } {
    const state = this.state(job);
    const j = this.cx.table.jobs.get(job);
    if (state === 'done' || state === 'cancelled') return { status: 200, body: this.finalAnswer(job, state) };
    if (state && j) return { status: 200, body: jobAnswer(job, state, this.counts(j)) };
    return { status: 404, body: NO_SUCH_JOB };
  }

  private finalAnswer(id: string, state: 'done' | 'cancelled') {
    const n = readJobRecord(this.cx.replica.get(KEY.job(id))?.value)?.tasks ?? 0;
    return jobAnswer(id, state, { done: state === 'done' ? n : 0, running: 0 });
  }

  cancel(id: number, job: string, now: Ms): void {
    this.open++;
    if (!JOB_ID.test(job)) return this.answer(id, 404, NO_SUCH_JOB);
    if (!this.cx.replica.loaded) return this.busy(id, 'not ready');
    if (!this.cx.storeOk(now)) return this.busy(id, 'the state service does not answer');
    this.tryCancel(id, job, now, now + SUBMIT_MS);
  }

  private tryCancel(id: number, job: string, now: Ms, until: Ms): void {
    const final = this.cx.table.finals.get(job);
    if (final) return this.answer(id, 200, jobAnswer(job, final));
    const entry = this.cx.replica.get(KEY.job(job));
    if (!entry) {
      this.cx.afterBarrier(
        now,
        (t) => {
          if (this.cx.replica.get(KEY.job(job))) this.tryCancel(id, job, t, until);
          else this.answer(id, 404, NO_SUCH_JOB);
        },
        until,
        () => this.busy(id, 'the state service does not answer'),
      );
      return;
    }
    const key = KEY.job(job);
    let over = false;
    this.cx.writer.add({
      key,
      value: () => encodeCancelledJob(key, entry.value, this.cx.table.sizes.changeBytes),
      guard: entry.stamp,
      urgency: URGENCY.cancel,
      until,
      done: (outcome) => {
        if (over) return;
        over = true;
        if (outcome === 'ok') this.answer(id, 200, jobAnswer(job, 'cancelled'));
        else {
          // Somebody else wrote first: the replica has it by now.
          const now2 = this.cx.table.finals.get(job);
          if (now2) this.answer(id, 200, jobAnswer(job, now2));
          else this.busy(id, 'try again');
        }
      },
    });
    this.expire(until, () => {
      if (over) return;
      over = true;
      this.busy(id, 'the state service does not answer');
    });
  }

  /** Why the job can never run, or null. */
  private neverRuns(spec: JobSpec): string | null {
    const { table, settings } = this.cx;
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
    if (team.cpusMax > 0 && spec.cpus * n > team.cpusMax + 1e-6) return 'more cpus than the team may use';
    if (team.gpusMax > 0 && spec.gpus * n > team.gpusMax + 1e-6) return 'more gpus than the team may use';
    return null;
  }
}
