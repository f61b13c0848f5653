/** Responses to users other than job statuses: HTTP status codes, reasons and error bodies. Constants and pure functions. */

/** The HTTP status codes of responses to users. */
export const HttpStatus = {
  ok: 200,
  created: 201,
  badRequest: 400,
  notFound: 404,
  unprocessable: 422,
  unavailable: 503,
} as const;

/** One of the status codes of `HttpStatus`. */
export type HttpStatus = (typeof HttpStatus)[keyof typeof HttpStatus];

/** Why a request can't be served now and should be repeated. The texts are part of the responses. */
export const UnavailableReason = {
  notReady: 'not ready',
  stateServiceSilent: 'the state service does not answer',
  overloaded: 'overloaded',
  conflict: 'try again',
} as const;

/** One of the texts of `UnavailableReason`. */
export type UnavailableReason = (typeof UnavailableReason)[keyof typeof UnavailableReason];

/** The body of every response that isn't the status of a job. */
export interface ErrorBody {
  error: string;
}

/** There is neither a job with this id nor a record of one. */
export const NO_SUCH_JOB: ErrorBody = { error: 'no such job' };

/** The submission is rejected because a key or record with its names would exceed the state service's limits. */
export const NAMES_TOO_LONG: ErrorBody = { error: 'its names are too long to be stored' };

/** The submission is rejected because the state service doesn't take its content. */
export const NOT_STORABLE: ErrorBody = { error: 'its content can not be stored' };

/** The submission is rejected because its body has text that is not UTF-8. */
export const INVALID_TEXT: ErrorBody = { error: 'the body has text that is not UTF-8' };

/** Returns the body of a response with this error text. */
export const errorBody = (error: string): ErrorBody => ({ error });
