/** Leases of the state service, to which keys are attached: when a lease ends, its keys are removed. */
import type { MessagePackMap } from '../message-pack.js';
import { PATHS } from '../paths.js';

interface LeaseRequestOnWire {
  ttl_ms: number;
}

/** Path of a request that renews this lease. */
export function leaseRenewalPath(leaseId: number): string {
  return `${PATHS.leases}/${leaseId}/extend`;
}

/** A request for a new lease that ends unless it is renewed within this many milliseconds. */
export function encodeLeaseRequest(ttlMs: number): LeaseRequestOnWire {
  return { ttl_ms: ttlMs };
}

/** The id of a new lease; null if there is none. */
export function parseLeaseId(body: MessagePackMap): number | null {
  return typeof body.permit === 'number' ? body.permit : null;
}
