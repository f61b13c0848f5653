/** Size limits of bodies, counted in the form of JSON although bodies are sent as MessagePack. */

/** Largest request body, and largest response to workers and users, in bytes. */
export const MAX_BODY_BYTES = 64 * 1024;

/** An upper bound of the bytes of one encoded command. */
const MAX_COMMAND_BYTES = 160;

/** Commands that fit one body whatever they are. */
export const MAX_COMMANDS_PER_BODY = Math.floor(MAX_BODY_BYTES / MAX_COMMAND_BYTES);
