/** Admitted requests that have no response yet. */
import type { ClientKind } from './connection-limiter.js';
import type { Responder } from './responder.js';

/** The responder of a request, and the data that its response depends on. */
export interface PendingRequest {
  responder: Responder;
  clientKind: ClientKind;
  /** the job whose status is queried; null for other requests */
  job: string | null;
}

/** Assigns an id to each request, and removes requests whose client disconnects. */
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

  /** Removes and returns the request with this id; undefined if its client disconnected or it already got a response. */
  take(id: number): PendingRequest | undefined {
    const pending = this.byId.get(id);
    if (pending) this.byId.delete(id);
    return pending;
  }
}
