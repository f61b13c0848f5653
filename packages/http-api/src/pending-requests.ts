/** Requests that were passed on and wait for their response. */
import type { ClientKind } from './connection-limiter.js';
import type { Responder } from './responder.js';

/** What is needed to respond to a request. */
export interface PendingRequest {
  responder: Responder;
  clientKind: ClientKind;
  /** the job whose status is queried; null for other requests */
  job: string | null;
}

/** Gives each request an id, and forgets requests whose client disconnects. */
export class PendingRequests {
  private readonly byId = new Map<number, PendingRequest>();
  private nextId = 1;

  /** Adds a request and returns its id. */
  add(responder: Responder, clientKind: ClientKind, job: string | null): number {
    const id = this.nextId++;
    this.byId.set(id, { responder, clientKind, job });
    responder.onDisconnect(() => this.byId.delete(id));
    return id;
  }

  /** Removes the request with this id and returns it; undefined if nobody waits for its response. */
  take(id: number): PendingRequest | undefined {
    const pending = this.byId.get(id);
    if (pending) this.byId.delete(id);
    return pending;
  }
}
