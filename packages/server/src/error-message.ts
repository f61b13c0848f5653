/** Helpers for caught values, whose type is unknown. */

/** Returns the message of a thrown value, which needn't be an `Error`. */
export function errorMessage(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}

/** Returns Node's code of a system error, such as `ENOENT`; undefined for any other value. */
export function systemErrorCode(thrown: unknown): unknown {
  return thrown instanceof Error && 'code' in thrown ? thrown.code : undefined;
}
