/** Responses of the state service and the cloud, before their bodies are parsed. */
import { type MessagePackMap, unpackMap } from './message-pack.js';

/** An HTTP response. Its body is null if it is not a MessagePack map. */
export interface ServiceResponse {
  status: number;
  body: MessagePackMap | null;
}

/** The members of an HTTP call's outcome that `decodeServiceResponse` reads: a response, or the reason why there is none. */
type CallOutcome = { kind: 'response'; status: number; body: Uint8Array } | { kind: 'notSent' | 'unknown' };

/** Decodes the response to a call. Returns null if no response was received. */
export function decodeServiceResponse(outcome: CallOutcome): ServiceResponse | null {
  return outcome.kind === 'response' ? { status: outcome.status, body: unpackMap(outcome.body) } : null;
}

/**
 * Parses the body of a response with status 200. Returns null for any other status, without a response, and if the body
 * cannot be parsed. The last case also calls `onUnreadable`: a retry is unlikely to help, and an operator should know.
 */
export function readResponse<T>(
  response: ServiceResponse | null,
  parse: (body: MessagePackMap) => T | null,
  onUnreadable: () => void,
): T | null {
  if (response?.status !== 200) return null;
  const parsed = response.body && parse(response.body);
  if (parsed === null) onUnreadable();
  return parsed;
}
