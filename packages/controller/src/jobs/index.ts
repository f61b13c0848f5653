/**
 * Jobs: submissions, cancellations and status queries of users, and the responses to them. Owns the requests that wait for a
 * response.
 */
export { ClientRequests } from './client-requests.js';
