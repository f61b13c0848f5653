/**
 * The error that the record codecs throw for a stored value that isn't a record of the kind that its key requires. Another
 * version may have written it, so the caller skips only this record and continues with the rest.
 */

/** The expected kind of a stored value. */
export type RecordKind = 'lease holder' | 'machine assignment' | 'machine types part' | 'job' | 'job part' | 'progress part';

/** A stored value can't be read as a record of the expected kind. */
export class UnreadableRecordError extends Error {
  readonly code = 'UNREADABLE_RECORD';

  /** `cause`: the validation error, if the value was validated against a schema. */
  constructor(
    readonly recordKind: RecordKind,
    cause?: unknown,
  ) {
    super(`not a ${recordKind}`, cause === undefined ? undefined : { cause });
    this.name = 'UnreadableRecordError';
  }
}
