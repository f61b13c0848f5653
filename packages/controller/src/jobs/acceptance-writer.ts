/**
 * Stores accepted jobs: encodes the record, writes its parts and then the record itself, each under the condition that its key
 * doesn't exist. Owns no state; pending writes are the state writer's.
 */
import type { Submission } from '@archpost/protocol';
import type { ClusterStateView, InputClock, ReplicaView, StateWriting } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { type EncodedJob, encodeAcceptedJob, NO_REVISION, StateKey, WritePriority } from '../state/index.js';

/** What became of the acceptance of a job. */
export type AcceptanceOutcome =
  /** `sentAt`: when the write was sent */
  | { kind: 'stored'; sentAt: Milliseconds }
  /** the job has a record already */
  | { kind: 'conflict' }
  /** the state service gave no answer in time: the job may be stored or not */
  | { kind: 'unknown' };

/** What the acceptance writer needs of its controller. */
type AcceptanceWriterContext = InputClock & ClusterStateView & ReplicaView & StateWriting;

/** Writes what makes a job accepted. A job is accepted as soon as its record is stored, whoever reads it. */
export class AcceptanceWriter {
  constructor(private readonly context: AcceptanceWriterContext) {}

  /** The record and its parts; null if the job's names are too long to be stored. */
  encode({ spec, awaits }: Submission, wallClockMs: number): EncodedJob | null {
    const { finishedJobs, sizeLimits } = this.context.clusterState;
    const key = StateKey.job(spec.id);
    const ordered = spec.machineTypes === null ? spec : { ...spec, machineTypes: this.knownTypesFirst(spec.machineTypes) };
    // What is stored as done needs no edge.
    const openAwaits = awaits.filter((job) => finishedJobs.get(job) !== 'done');
    const encoded = encodeAcceptedJob(
      key,
      { spec: ordered, awaits: openAwaits, submittedAt: wallClockMs },
      sizeLimits.maxWriteBytes,
    );
    if (encoded === null || encoded.parts.length === 0) return encoded;
    // In parts the whole list is stored, so that a repeated submission finds the same parts.
    return encodeAcceptedJob(key, { spec: ordered, awaits, submittedAt: wallClockMs }, sizeLimits.maxWriteBytes);
  }

  /** Writes until `expiresAt`, and calls `onOutcome` once. */
  store(job: string, encoded: EncodedJob, expiresAt: Milliseconds, onOutcome: (outcome: AcceptanceOutcome) => void): void {
    this.storeParts(job, encoded, expiresAt, (areStored) => {
      if (areStored) this.storeRecord(job, encoded.record, expiresAt, onOutcome);
      else onOutcome({ kind: 'unknown' });
    });
  }

  /** An older version reads only the machine types that come first: those that it knows serve it best. */
  private knownTypesFirst(types: string[]): string[] {
    const known = new Set(this.context.clusterState.machineTypes.flatMap((type) => (type ? [type.name] : [])));
    return [...types.filter((type) => known.has(type)), ...types.filter((type) => !known.has(type))];
  }

  /** The parts come before the record that makes them valid: what is left of a submission that fails is never read. */
  private storeParts(
    job: string,
    { parts, group }: EncodedJob,
    expiresAt: Milliseconds,
    onOutcome: (areStored: boolean) => void,
  ): void {
    const { replica, writer } = this.context;
    const missing = parts
      .map((part, index) => ({ part, key: StateKey.jobPart(job, group, index) }))
      .filter(({ key }) => replica.get(key) === null);
    let pendingCount = missing.length;
    let hasFailed = false;
    if (pendingCount === 0) return onOutcome(true);
    for (const { part, key } of missing) {
      writer.add({
        key,
        value: () => part,
        expectedRevision: NO_REVISION,
        priority: WritePriority.acceptance,
        expiresAt,
        onOutcome: () => {
          // A key of this name holds the same, whoever wrote it.
          hasFailed ||= replica.get(key) === null;
          pendingCount--;
          if (pendingCount === 0) onOutcome(!hasFailed);
        },
      });
    }
  }

  private storeRecord(
    job: string,
    record: unknown,
    expiresAt: Milliseconds,
    onOutcome: (outcome: AcceptanceOutcome) => void,
  ): void {
    let sentAt = this.context.now;
    this.context.writer.add({
      key: StateKey.job(job),
      value: (at) => {
        sentAt = at;
        return record;
      },
      expectedRevision: NO_REVISION,
      priority: WritePriority.acceptance,
      expiresAt,
      onOutcome: (outcome) => {
        if (outcome === 'ok') onOutcome({ kind: 'stored', sentAt });
        else onOutcome({ kind: outcome === 'conflict' ? 'conflict' : 'unknown' });
      },
    });
  }
}
