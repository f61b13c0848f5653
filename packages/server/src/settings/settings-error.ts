/** The error for invalid settings. */

/** The location and the description of a fault in the settings. */
export interface SettingsFault {
  /** the file or the environment variable that contains the value */
  source: string;
  /** the field within the source, as a dotted path; null if the fault concerns the whole source */
  field: string | null;
  /** the description of the fault, in one line */
  reason: string;
  /** the underlying error */
  cause?: unknown;
}

/**
 * Thrown for settings with which the program can't run. Its message is the line that the operator sees: source, field and
 * reason. The program exits with code 2 after this error, and with code 1 after any other.
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
