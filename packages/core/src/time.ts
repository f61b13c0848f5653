/** Milliseconds of a steady clock; the core never reads one, every input brings its own. */
export type Ms = number;
