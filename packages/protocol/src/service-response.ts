/** Answers of the state service and the cloud, and what can be read of them. */

export interface ServiceResponse {
  /** 0: there was none */
  status: number;
  body: Record<string, unknown> | null;
}

/** What the answer says; null if it was refused, or can't be read, which is told. */
export function readResponse<T>(
  { status, body }: ServiceResponse,
  parse: (body: Record<string, unknown>) => T | null,
  unreadable: () => void,
): T | null {
  if (status !== 200) return null;
  const parsed = body && parse(body);
  if (parsed === null) unreadable();
  return parsed;
}
