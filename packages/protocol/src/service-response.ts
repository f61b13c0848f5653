/** Responses of the state service and the cloud, before their bodies are parsed. */
import { type MessagePackMap, unpackMap } from './message-pack.js';

/** A response; its body is null if it is not a MessagePack map. */
export interface ServiceResponse {
  status: number;
  body: MessagePackMap | null;
}

/** The part of an HTTP call's outcome that is needed here: a response, or the reason that there is none. */
type CallOutcome = { kind: 'response'; status: number; body: Uint8Array } | { kind: 'notSent' | 'unknown' };

/** The response to a call; null if none was received. */
export function decodeServiceResponse(outcome: CallOutcome): ServiceResponse | null {
  return outcome.kind === 'response' ? { status: outcome.status, body: unpackMap(outcome.body) } : null;
}

/**
 * The parsed body of a response with status 200, and null for any other. A body of status 200 that can not be parsed
 * is passed to `onUnreadable`, since a retry is unlikely to help and an operator should know.
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
