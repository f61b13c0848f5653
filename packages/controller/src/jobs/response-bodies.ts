/** What users are answered beside the status of a job: HTTP statuses, reasons and bodies. Constants and pure functions. */

/** The HTTP statuses of responses to users. */
export const HttpStatus = {
  ok: 200,
  created: 201,
  badRequest: 400,
  notFound: 404,
  unprocessable: 422,
  unavailable: 503,
} as const;

export type HttpStatus = (typeof HttpStatus)[keyof typeof HttpStatus];

/** Why a request can't be served now and is to be repeated. The texts are the user's. */
export const UnavailableReason = {
  notReady: 'not ready',
  stateServiceSilent: 'the state service does not answer',
  overloaded: 'overloaded',
  conflict: 'try again',
} as const;

export type UnavailableReason = (typeof UnavailableReason)[keyof typeof UnavailableReason];

/** The body of every response that isn't the status of a job. */
export interface ErrorBody {
  error: string;
}

export const NO_SUCH_JOB: ErrorBody = { error: 'no such job' };

export const NAMES_TOO_LONG: ErrorBody = { error: 'its names are too long to be stored' };

export const errorBody = (error: string): ErrorBody => ({ error });
