/** The HTTP interface to users and workers, with its connection limit and load shedding. */
export { ConnectionLimiter } from './connection-limiter.js';
export { type ApiRequest, type HeartbeatFault, HttpApi, type HttpApiOptions } from './http-api.js';
export { LoadShedder } from './load-shedder.js';
export { decodeSubmissionBody } from './submission-body.js';
