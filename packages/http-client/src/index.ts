/** Shared by this process's clients of other services: HTTP calls, request budgets, delays and the monotonic clock. */
export { parseAddress } from './address.js';
export { monotonicMs } from './clock.js';
export { Delay } from './delay.js';
export { HttpClient } from './http-client.js';
export type { CallOutcome, HttpCall } from './http-exchange.js';
export { RequestBudget } from './request-budget.js';
