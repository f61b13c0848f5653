/**
 * The error that the record codecs throw: a stored value that isn't what its key says it is. Another version may have
 * written it, so the caller passes over this one record and goes on with the rest.
 */

/** What a stored value should have been. */
export type RecordKind = 'lease holder' | 'machine assignment' | 'machine types part' | 'job' | 'job part' | 'progress part';

/** A stored value that can't be read as a record of its kind. */
export class UnreadableRecordError extends Error {
  readonly code = 'UNREADABLE_RECORD';

  /** `cause`: what the schema found wrong, where a schema was used. */
  constructor(
    readonly recordKind: RecordKind,
    cause?: unknown,
  ) {
    super(`not a ${recordKind}`, cause === undefined ? undefined : { cause });
    this.name = 'UnreadableRecordError';
  }
}
