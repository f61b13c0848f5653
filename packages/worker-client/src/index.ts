/** The client of the workers: commands that go directly to them, and probes. */
export { type CommandOutcome, WorkerClient } from './worker-client.js';
