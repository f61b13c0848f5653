/** The client of the workers: commands that go directly to them, and probes. */
export { type CommandOutcome, type CommandRequest, WorkerClient } from './worker-client.js';
