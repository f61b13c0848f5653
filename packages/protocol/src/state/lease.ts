/** Leases of the state service. When a lease ends, the keys attached to it are removed. */
import type { MessagePackMap } from '../message-pack.js';
import { PATHS } from '../paths.js';

interface LeaseRequestOnWire {
  ttl_ms: number;
}

/** Returns the path of a request that renews the lease. */
export function leaseRenewalPath(leaseId: number): string {
  return `${PATHS.leases}/${leaseId}/extend`;
}

/** Encodes a request for a new lease, which ends unless it is renewed within `ttlMs`. */
export function encodeLeaseRequest(ttlMs: number): LeaseRequestOnWire {
  return { ttl_ms: ttlMs };
}

/** Parses the id of a new lease. Returns null if it is missing or invalid. */
export function parseLeaseId(body: MessagePackMap): number | null {
  return typeof body.permit === 'number' ? body.permit : null;
}
