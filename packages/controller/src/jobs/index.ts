/** Jobs: submissions, cancellations and status queries of users, and their responses.
 * Owns the requests that wait for a response. */
export * from './client-requests.js';
