/** The HTTP interface to users and workers, and what it refuses under load. */
export { ConnectionLimiter } from './connection-limiter.js';
export { type ApiRequest, HttpApi, type HttpApiOptions } from './http-api.js';
export { LoadShedder } from './load-shedder.js';
