/** Requests that were handed on and wait for their response. */
import type { ClientKind } from './connection-limiter.js';
import type { Responder } from './responder.js';

export interface PendingRequest {
  responder: Responder;
  clientKind: ClientKind;
  /** the job whose status it asks for; null for any other request */
  job: string | null;
}

/** Numbers requests, and forgets those whose client has gone. */
export class PendingRequests {
  private readonly byId = new Map<number, PendingRequest>();
  private nextId = 1;

  /** Returns the id that the response must bear. */
  add(responder: Responder, clientKind: ClientKind, job: string | null): number {
    const id = this.nextId++;
    this.byId.set(id, { responder, clientKind, job });
    responder.onDisconnect(() => this.byId.delete(id));
    return id;
  }

  /** The request of this id, which is pending no more; undefined if nobody waits for its response. */
  take(id: number): PendingRequest | undefined {
    const pending = this.byId.get(id);
    if (pending) this.byId.delete(id);
    return pending;
  }
}
