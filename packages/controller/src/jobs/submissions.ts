/** Users' submissions: checked, stored, then answered. */
import { encodeJobStatus, type JobSpec, parseSubmission, type Submission } from '@archpost/protocol';
import type { ClusterStateView, InputClock, PeerDirectory, ReplicaView, SettingsView, StateWriting } from '../context/index.js';
import { countThatFit, type Milliseconds, RESOURCE_TOLERANCE } from '../model/index.js';
import { type EncodedJob, encodeAcceptedJob, StateKey, type WriteOutcome, WritePriority } from '../state/index.js';
import { type ClientResponses, NOT_READY, REQUEST_TIMEOUT_MS, STATE_SERVICE_UNAVAILABLE } from './client-responses.js';
import { statusOf } from './job-status.js';

/** Within this time of a job's acceptance nobody can have been told of its end. */
const PROMPT_RESPONSE_MS = 150;

/** What the submissions needs of its controller. */
type SubmissionsContext = SettingsView & InputClock & ClusterStateView & ReplicaView & StateWriting & PeerDirectory;

export class Submissions {
  constructor(
    private readonly context: SubmissionsContext,
    private readonly responses: ClientResponses,
  ) {}

  submit(id: number, body: Record<string, unknown> | null, now: Milliseconds, wallClockMs: number): void {
    if (!body) return this.responses.respond(id, 400, { error: 'the body is not a MessagePack map' });
    const parsed = parseSubmission(body);
    if ('field' in parsed) return this.responses.respond(id, 400, { error: `field ${parsed.field} is missing or invalid` });
    const { spec } = parsed;
    const final = this.context.clusterState.finishedJobs.get(spec.id);
    if (final) return this.responses.respond(id, 200, encodeJobStatus(spec.id, final));
    const unready = this.context.clusterState.machineTypesKnown ? this.responses.unavailableReason(now) : NOT_READY;
    if (unready) return this.responses.respondUnavailable(id, unready);
    if (this.context.clusterState.jobs.has(spec.id)) return this.respondWithKnownStatus(id, spec.id, now);
    if (this.rejectionReason(parsed)) return this.confirmRejection(id, parsed, now, wallClockMs);
    this.accept(id, parsed, wallClockMs, now + REQUEST_TIMEOUT_MS);
  }

  /** Why the submission is to be refused, by what is known here, or null. */
  private rejectionReason({ spec, awaits }: Submission): string | null {
    const never = this.infeasibilityReason(spec);
    if (never) return never;
    if (awaits.includes(spec.id)) return 'the job awaits itself';
    const unknown = awaits.find((other) => !this.wasAccepted(other));
    return unknown === undefined ? null : `it awaits ${unknown}, which was never accepted`;
  }

  private wasAccepted(job: string): boolean {
    return this.context.clusterState.finishedJobs.has(job) || this.context.replica.get(StateKey.job(job)) !== null;
  }

  /** The job, or one that it awaits, may have been accepted elsewhere a moment ago: only a newer reading tells. */
  private confirmRejection(id: number, submission: Submission, now: Milliseconds, wallClockMs: number): void {
    const { spec } = submission;
    const until = now + REQUEST_TIMEOUT_MS;
    this.responses.afterBarrier(id, now, until, () => {
      const state = statusOf(this.context, spec.id);
      const refusal = this.rejectionReason(submission);
      if (state) this.responses.respond(id, 200, encodeJobStatus(spec.id, state));
      else if (refusal) this.responses.respond(id, 422, { error: refusal });
      else this.accept(id, submission, wallClockMs, until);
    });
  }

  /** Stores the job, and answers once it is stored. */
  private accept(id: number, { spec, awaits }: Submission, wallClockMs: number, until: Milliseconds): void {
    if (this.responses.isOverloaded) return this.responses.respondUnavailable(id, 'overloaded');
    const key = StateKey.job(spec.id);
    const encoded = this.encode(key, spec, awaits, wallClockMs);
    if (!encoded) return this.responses.respond(id, 400, { error: 'its names are too long to be stored' });
    const end = this.responses.respondOnce(id, until);
    const unanswered = () => end(() => this.responses.respondUnavailable(id, STATE_SERVICE_UNAVAILABLE));
    this.storeParts(spec.id, encoded, until, (stored) => {
      if (!stored) return unanswered();
      this.storeAcceptance(key, encoded.record, until, (outcome, sentAt) => {
        if (outcome === 'ok') end(() => this.respondAccepted(id, spec.id, sentAt));
        else if (outcome === 'conflict') end(() => this.respondWithCurrentStatus(id, spec.id));
        else unanswered();
      });
    });
  }

  private encode(key: string, spec: JobSpec, awaits: string[], wallClockMs: number): EncodedJob | null {
    const { clusterState } = this.context;
    const ordered = spec.types === null ? spec : { ...spec, types: this.knownTypesFirst(spec.types) };
    // What is stored as done needs no edge.
    const open = awaits.filter((other) => clusterState.finishedJobs.get(other) !== 'done');
    const encoded = encodeAcceptedJob(key, ordered, open, wallClockMs, clusterState.sizeLimits.maxWriteBytes);
    if (encoded === null || encoded.parts.length === 0) return encoded;
    // In parts the whole list is stored, so that a repeated submission finds the same parts.
    return encodeAcceptedJob(key, ordered, awaits, wallClockMs, clusterState.sizeLimits.maxWriteBytes);
  }

  /** An older version reads only the machine types that come first: such as it can use serve it best. */
  private knownTypesFirst(types: string[]): string[] {
    const known = new Set(this.context.clusterState.machineTypes.flatMap((type) => (type ? [type.name] : [])));
    return [...types.filter((type) => known.has(type)), ...types.filter((type) => !known.has(type))];
  }

  /** The parts come before the record that makes them valid: what is left of a submission that fails harms nobody. */
  private storeParts(job: string, { parts, group }: EncodedJob, until: Milliseconds, then: (stored: boolean) => void): void {
    const { replica, writer } = this.context;
    const missing = parts
      .map((part, index) => ({ part, key: StateKey.jobPart(job, group, index) }))
      .filter(({ key }) => replica.get(key) === null);
    let left = missing.length;
    let failed = false;
    if (left === 0) return then(true);
    for (const { part, key } of missing) {
      writer.add({
        key,
        value: () => part,
        expectedRevision: 0,
        priority: WritePriority.acceptance,
        expiresAt: until,
        onOutcome: () => {
          // A key of this name holds the same, whoever wrote it.
          failed ||= replica.get(key) === null;
          left--;
          if (left === 0) then(!failed);
        },
      });
    }
  }

  private storeAcceptance(
    key: string,
    record: unknown,
    until: Milliseconds,
    then: (outcome: WriteOutcome, sentAt: Milliseconds) => void,
  ): void {
    let sentAt = this.context.now;
    this.context.writer.add({
      key,
      value: (at) => {
        sentAt = at;
        return record;
      },
      expectedRevision: 0,
      priority: WritePriority.acceptance,
      expiresAt: until,
      onOutcome: (outcome) => then(outcome, sentAt),
    });
  }

  /** Accepted before: answered with its status after a reading that is newer than the request. */
  private respondWithKnownStatus(id: number, job: string, now: Milliseconds): void {
    this.responses.afterBarrier(id, now, now + REQUEST_TIMEOUT_MS, () => this.respondWithCurrentStatus(id, job));
  }

  private respondWithCurrentStatus(id: number, job: string): void {
    const state = statusOf(this.context, job);
    if (state) this.responses.respond(id, 200, encodeJobStatus(job, state));
    else this.responses.respondUnavailable(id, 'try again');
  }

  /**
   * The answer to the transaction may have been long on its way, and the job have run to its end, or been
   * called off at another controller, which has told so: then nothing older than that is said here.
   */
  private respondAccepted(id: number, job: string, sentAt: Milliseconds): void {
    const now = this.context.now;
    if (now - sentAt < PROMPT_RESPONSE_MS)
      this.responses.respond(id, 201, encodeJobStatus(job, statusOf(this.context, job) ?? 'queued'));
    else this.respondWithKnownStatus(id, job, now);
  }

  /** Why the job can never run, or null. */
  private infeasibilityReason(spec: JobSpec): string | null {
    const { clusterState, settings } = this.context;
    const team = settings.teams.find((team) => team.name === spec.team);
    if (!team) return `unknown team ${spec.team}`;
    const types = clusterState.machineTypes.filter((machineType) => machineType !== null && machineType !== undefined);
    const fit = types.some(
      (machineType) =>
        (spec.types === null || spec.types.includes(machineType.name)) &&
        countThatFit(spec, machineType) >= 1 &&
        (spec.zone === null || settings.zones.includes(spec.zone)) &&
        (spec.zone === null || machineType.zones.length === 0 || machineType.zones.includes(spec.zone)),
    );
    if (!fit) return 'a task fits no allowed machine type';
    const count = spec.shape === 'array' ? 1 : spec.tasks;
    if (team.maxCpus > 0 && spec.cpus * count > team.maxCpus + RESOURCE_TOLERANCE) return 'more cpus than the team may use';
    if (team.maxGpus > 0 && spec.gpus * count > team.maxGpus + RESOURCE_TOLERANCE) return 'more gpus than the team may use';
    return null;
  }
}
