/** Parses the body of a submission, so that all later steps work with a typed `Submission`. Pure functions. */
import { type MessagePackMap, parseSubmission, type Submission } from '@archpost/protocol';
import { type ErrorBody, errorBody } from './response-bodies.js';

/** A parsed submission, or why its body can't be parsed. */
export type SubmissionRequest =
  | { kind: 'valid'; submission: Submission }
  | { kind: 'notAMap' }
  /** `field`: the path of the first invalid field, in wire names */
  | { kind: 'invalidField'; field: string };

/** Why the body of a submission can't be parsed. */
export type MalformedSubmission = Exclude<SubmissionRequest, { kind: 'valid' }>;

/** Parses the body of a submission. `body` is null if it isn't a MessagePack map. */
export function readSubmissionRequest(body: MessagePackMap | null): SubmissionRequest {
  if (!body) return { kind: 'notAMap' };
  const parsed = parseSubmission(body);
  if ('field' in parsed) return { kind: 'invalidField', field: parsed.field };
  return { kind: 'valid', submission: parsed };
}

/** Returns the body of the response to a submission that can't be parsed. */
export function malformedSubmissionBody(request: MalformedSubmission): ErrorBody {
  switch (request.kind) {
    case 'notAMap':
      return errorBody('the body is not a MessagePack map');
    case 'invalidField':
      return errorBody(`field ${request.field} is missing or invalid`);
    default:
      return request satisfies never;
  }
}
