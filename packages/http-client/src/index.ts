export { parseAddress } from './address.js';
// The former names, until state-client, cloud-client and worker-client use the new ones.
export { monotonicMs, monotonicMs as steady, sleep } from './clock.js';
export { type CallOutcome, type HttpCall, HttpClient, HttpClient as Client } from './http-client.js';
export { RequestBudget, RequestBudget as Budget } from './request-budget.js';
