/** The error by which settings are refused. */

/** Where a fault is, and what it is. */
export interface SettingsFault {
  /** the file, or the environment variable, that holds the value */
  source: string;
  /** the field within it, as a dotted path; null where the fault is in the source as a whole */
  field: string | null;
  /** what is wrong with it, in one line */
  reason: string;
  /** the error that showed it */
  cause?: unknown;
}

/**
 * Settings with which the program can't run. Its message is the line that the operator sees: source, field and reason.
 * The program ends with exit code 2 for this error and with 1 for any other.
 */
export class SettingsError extends Error {
  readonly source: string;
  readonly field: string | null;

  constructor({ source, field, reason, cause }: SettingsFault) {
    super(field === null ? `${source}: ${reason}` : `${source}: ${field}: ${reason}`, { cause });
    this.source = source;
    this.field = field;
  }
}
