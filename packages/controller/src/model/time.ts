/** Milliseconds of a steady clock; the core never reads one, every input brings its own. */
export type Milliseconds = number;

/** Before anything happened. */
export const NEVER: Milliseconds = -1e12;
