/** Requests to the cloud that provision and release machines. */
import * as z from 'zod';
import { boundedList } from '../bounded-list.js';
import type { MessagePackMap } from '../message-pack.js';

/** Maximum number of machines that the cloud provisions for one request. */
export const MAX_MACHINES_PER_PROVISIONING = 50;

/** Maximum number of machines that the cloud releases for one request. */
export const MAX_MACHINES_PER_RELEASE = 100;

/** A request for machines of one type in one zone. */
export interface ProvisioningRequest {
  /**
   * Makes the request idempotent: if a fulfilled request is repeated, the cloud returns the same machines. No other request
   * of any controller may use the same id.
   */
  requestId: string;
  machineType: string;
  zone: string;
  spot: boolean;
  /** at most MAX_MACHINES_PER_PROVISIONING; the cloud may provision fewer */
  count: number;
}

interface ProvisioningRequestOnWire {
  booking: string;
  build: string;
  yard: string;
  loaners: boolean;
  number: number;
}

interface ReleaseRequestOnWire {
  hosts: string[];
}

const provisionedMachinesOnWire = z.object({ hosts: boundedList(z.string()) });

/** The error of a 503 response if the cloud has no capacity. A 503 response with any other error is an outage. */
const NO_CAPACITY_ON_WIRE = 'no capacity';

/** Converts a provisioning request to its wire format. */
export function encodeProvisioningRequest(request: ProvisioningRequest): ProvisioningRequestOnWire {
  return {
    booking: request.requestId,
    build: request.machineType,
    yard: request.zone,
    loaners: request.spot,
    number: request.count,
  };
}

/** Parses the names of the provisioned machines. Returns null if the body is invalid. */
export function parseProvisionedMachines(body: MessagePackMap): string[] | null {
  const parsed = provisionedMachinesOnWire.safeParse(body);
  return parsed.success ? parsed.data.hosts : null;
}

/** Whether a 503 response means that the cloud has no machine of the requested type, zone and kind (spot or on-demand). */
export function isOutOfCapacity(body: MessagePackMap | null): boolean {
  return body?.error === NO_CAPACITY_ON_WIRE;
}

/** Encodes the release of at most MAX_MACHINES_PER_RELEASE machines. The cloud ignores names that it does not know. */
export function encodeReleaseRequest(machines: string[]): ReleaseRequestOnWire {
  return { hosts: machines };
}
