/** Reading of caught values, whose type is never known. */

/** The message of what was thrown, also where that is no `Error`. */
export function errorMessage(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}

/** Node's code of a system error, such as `ENOENT`; undefined for anything else. */
export function systemErrorCode(thrown: unknown): unknown {
  return thrown instanceof Error && 'code' in thrown ? thrown.code : undefined;
}
