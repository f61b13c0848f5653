/** The body of a submission. It is decoded when the request is processed: while it waits, it takes no more than its bytes. */
import { decodeMap, hasValidTexts, type MapFault, type MessagePackMap } from '@archpost/protocol';

/** Why a body is malformed, whatever its fields mean. */
export type SubmissionBodyFault = MapFault | 'missing' | 'invalid text';

/** A decoded body. */
export interface SubmissionBody {
  /** null: there is no map in the bytes */
  map: MessagePackMap | null;
  /** null: the bytes are a map, and its text is UTF-8 */
  fault: SubmissionBodyFault | null;
}

/** Decodes the body of a submission. `bytes`: null if the request has none. */
export function decodeSubmissionBody(bytes: Buffer | null): SubmissionBody {
  if (bytes === null) return { map: null, fault: 'missing' };
  const decoded = decodeMap(bytes);
  if (decoded.kind === 'malformed') return { map: null, fault: decoded.fault };
  return { map: decoded.map, fault: hasValidTexts(bytes) ? null : 'invalid text' };
}
