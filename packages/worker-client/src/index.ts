/** The client of the workers: direct commands and probes. */
export { type CommandOutcome, type CommandRequest, WorkerClient } from './worker-client.js';
