/** A request body, and an answer to workers or users, in the form in which PROTOCOL counts it (JSON). */
export const MAX_BODY_BYTES = 64 * 1024;

/** A command to a worker is smaller than this, so many as these fit a body. */
const COMMAND_BYTES = 160;
export const MAX_COMMANDS_PER_BODY = Math.floor(MAX_BODY_BYTES / COMMAND_BYTES);
