/** What this process's clients of other services have in common: HTTP calls, request budgets and the clock. */
export { parseAddress } from './address.js';
// The former names, until state-client, cloud-client and worker-client use the new ones.
export { monotonicMs, monotonicMs as steady, sleep } from './clock.js';
export { HttpClient, HttpClient as Client } from './http-client.js';
export type { CallOutcome, CallOutcome as Outcome, HttpCall } from './http-exchange.js';
export { RequestBudget, RequestBudget as Budget } from './request-budget.js';
