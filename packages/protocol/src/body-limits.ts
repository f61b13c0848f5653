/** Size limits of bodies, measured as JSON although bodies are sent as MessagePack. */

/** Maximum size of a request body and of a response to a worker or user, in bytes. */
export const MAX_BODY_BYTES = 64 * 1024;

/** Upper bound of the size of one encoded command, in bytes. */
const MAX_COMMAND_BYTES = 160;

/** Number of commands that fit in one body regardless of their content. */
export const MAX_COMMANDS_PER_BODY = Math.floor(MAX_BODY_BYTES / MAX_COMMAND_BYTES);
