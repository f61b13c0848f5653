/**
 * Text that can be stored. Decoded text may have surrogates without a partner, which UTF-8 can't encode: the state service never
 * takes it.
 */

/** Whether UTF-8 can encode the text. */
export function isWellFormedText(text: string): boolean {
  return text.isWellFormed();
}

/** Whether the text can be part of a key of the state service: keys contain no spaces. */
export function isKeyText(text: string): boolean {
  return text.isWellFormed() && !/\s/.test(text);
}
