/** Milliseconds of a steady clock; the core never reads one, every input brings its own. */
export type Ms = number;

/** Before anything happened. */
export const NEVER: Ms = -1e12;
