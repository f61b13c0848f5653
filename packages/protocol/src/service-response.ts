/** Responses of the state service and the cloud, before their bodies are parsed. */
import { MAX_RESPONSE_CONTAINERS } from './body-limits.js';
import { decodeMap, type MessagePackMap } from './message-pack.js';

/** An HTTP response. Its body is null if it is not a MessagePack map. */
export interface ServiceResponse {
  status: number;
  body: MessagePackMap | null;
  /** whether the body was not read because of its size, or of the number of its lists and maps */
  isTooLarge: boolean;
}

/** The members of an HTTP call's outcome that `decodeServiceResponse` reads: a response, or the reason why there is none. */
type CallOutcome = { kind: 'response'; status: number; body: Uint8Array | null } | { kind: 'notSent' | 'unknown' };

/** Decodes the response to a call. Returns null if no response was received. */
export function decodeServiceResponse(outcome: CallOutcome): ServiceResponse | null {
  if (outcome.kind !== 'response') return null;
  const { status, body: bytes } = outcome;
  if (bytes === null) return { status, body: null, isTooLarge: true };
  const decoded = decodeMap(bytes, MAX_RESPONSE_CONTAINERS);
  if (decoded.kind === 'map') return { status, body: decoded.map, isTooLarge: false };
  return { status, body: null, isTooLarge: decoded.fault === 'too complex' };
}

/** Decodes the body of a response as a map. Returns null if it was too large to be read, is malformed, or is anything else. */
export function unpackResponse(bytes: Uint8Array | null): MessagePackMap | null {
  return decodeServiceResponse({ kind: 'response', status: 0, body: bytes })?.body ?? null;
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
