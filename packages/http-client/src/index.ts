/** What this process's clients of other services have in common: HTTP calls, request budgets, waits and the clock. */
export { parseAddress } from './address.js';
export { monotonicMs } from './clock.js';
export { Delay } from './delay.js';
export { HttpClient } from './http-client.js';
export type { CallOutcome, HttpCall } from './http-exchange.js';
export { RequestBudget } from './request-budget.js';
