/**
 * Stores accepted jobs: encodes the record, then writes its parts and finally the record itself, each on the condition that
 * its key doesn't exist. Owns no state; the state writer owns the pending writes.
 */
import type { Submission } from '@archpost/protocol';
import type { ClusterStateView, InputClock, ReplicaView, StateWriting } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { type EncodedJob, encodeAcceptedJob, NO_REVISION, StateKey, WritePriority } from '../state/index.js';

/** The outcome of storing an accepted job. */
export type AcceptanceOutcome =
  /** `sentAt`: when the write was sent */
  | { kind: 'stored'; sentAt: Milliseconds }
  /** the job already has a record */
  | { kind: 'conflict' }
  /** the state service never takes the job's record or parts as they are */
  | { kind: 'rejected' }
  /** the state service did not answer in time: the job may or may not be stored */
  | { kind: 'unknown' };

/** The outcome of storing the parts of an accepted job. */
type PartsOutcome = 'stored' | 'rejected' | 'unknown';

/** The parts of the controller's context that the acceptance writer uses. */
type AcceptanceWriterContext = InputClock & ClusterStateView & ReplicaView & StateWriting;

/** Writes the records of accepted jobs. A job is accepted as soon as its record is stored, whichever controller reads it. */
export class AcceptanceWriter {
  constructor(private readonly context: AcceptanceWriterContext) {}

  /** Encodes the record and its parts; null if the job's names are too long to be stored. */
  encode({ spec, awaits }: Submission, wallClockMs: number): EncodedJob | null {
    const { finishedJobs, sizeLimits } = this.context.clusterState;
    const key = StateKey.job(spec.id);
    const orderedSpec = spec.machineTypes === null ? spec : { ...spec, machineTypes: this.knownTypesFirst(spec.machineTypes) };
    // A job that is stored as done needs no dependency edge.
    const unfinishedDependencyIds = awaits.filter((job) => finishedJobs.get(job) !== 'done');
    const encoded = encodeAcceptedJob(
      key,
      { spec: orderedSpec, awaits: unfinishedDependencyIds, submittedAt: wallClockMs },
      sizeLimits.maxWriteBytes,
    );
    if (encoded === null || encoded.parts.length === 0) return encoded;
    // If the list is stored in parts, it includes dependencies that are done, so that a repeated submission finds the same parts.
    return encodeAcceptedJob(key, { spec: orderedSpec, awaits, submittedAt: wallClockMs }, sizeLimits.maxWriteBytes);
  }

  /** Writes the parts and then the record, gives up at `expiresAt`, and calls `onOutcome` once. */
  store(job: string, encoded: EncodedJob, expiresAt: Milliseconds, onOutcome: (outcome: AcceptanceOutcome) => void): void {
    this.storeParts(job, encoded, expiresAt, (outcome) => {
      if (outcome === 'stored') this.storeRecord(job, encoded.record, expiresAt, onOutcome);
      else onOutcome({ kind: outcome });
    });
  }

  /**
   * Moves the machine types that the cloud offers to the front. A version without support for parts reads only the types in the
   * record itself, so these should be types that exist.
   */
  private knownTypesFirst(types: string[]): string[] {
    const known = new Set(this.context.clusterState.machineTypes.flatMap((type) => (type ? [type.name] : [])));
    return [...types.filter((type) => known.has(type)), ...types.filter((type) => !known.has(type))];
  }

  /** Writes the parts before the record that makes them valid, so that the parts of a failed submission are never read. */
  private storeParts(
    job: string,
    { parts, group }: EncodedJob,
    expiresAt: Milliseconds,
    onOutcome: (outcome: PartsOutcome) => void,
  ): void {
    const { replica, writer } = this.context;
    const missing = parts
      .map((part, index) => ({ part, key: StateKey.jobPart(job, group, index) }))
      .filter(({ key }) => replica.get(key) === null);
    let pendingCount = missing.length;
    let partsOutcome: PartsOutcome = 'stored';
    if (pendingCount === 0) return onOutcome(partsOutcome);
    for (const { part, key } of missing) {
      writer.add({
        key,
        value: () => part,
        expectedRevision: NO_REVISION,
        priority: WritePriority.acceptance,
        expiresAt,
        onOutcome: (outcome) => {
          // The key includes a digest of the parts, so an existing key holds the same part, whichever controller wrote it.
          if (outcome === 'rejected') partsOutcome = 'rejected';
          else if (replica.get(key) === null && partsOutcome === 'stored') partsOutcome = 'unknown';
          pendingCount--;
          if (pendingCount === 0) onOutcome(partsOutcome);
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
        else onOutcome({ kind: outcome === 'dropped' ? 'unknown' : outcome });
      },
    });
  }
}
