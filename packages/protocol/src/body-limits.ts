/** Size limits of bodies, measured as JSON although bodies are sent as MessagePack. */

/** Maximum size of a request body and of a response to a worker or user, in bytes. */
export const MAX_BODY_BYTES = 64 * 1024;

/**
 * Maximum size of a response that is read, in bytes. A page of keys is limited to 512 KiB of JSON; a longer list of changes is
 * replaced by pages.
 */
export const MAX_RESPONSE_BYTES = 2 << 20;

/** Maximum number of lists and maps in a response. Each takes up to four hundred bytes of heap, however few bytes encode it. */
export const MAX_RESPONSE_CONTAINERS = 1 << 17;

/** Upper bound of the size of one encoded command, in bytes. */
const MAX_COMMAND_BYTES = 160;

/** Number of commands that fit in one body regardless of their content. */
export const MAX_COMMANDS_PER_BODY = Math.floor(MAX_BODY_BYTES / MAX_COMMAND_BYTES);
