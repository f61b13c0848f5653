/** Requests by which the cloud's machines are provisioned and released. */
import * as z from 'zod';
import type { MessagePackMap } from '../message-pack.js';

/** Most machines that the cloud provisions for one request. */
export const MAX_MACHINES_PER_PROVISIONING = 50;

/** Most machines that the cloud releases for one request. */
export const MAX_MACHINES_PER_RELEASE = 100;

/** A request for machines of one type in one zone. */
export interface ProvisioningRequest {
  /**
   * Makes the request idempotent: if it was fulfilled and is repeated, the cloud returns the same machines. It must not
   * be used for any other request, by any controller.
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

const provisionedMachinesOnWire = z.object({ hosts: z.array(z.string()) });

/** The error of a 503 that says that nothing is available; any other 503 is an outage. */
const NO_CAPACITY_ON_WIRE = 'no capacity';

/** The request as the cloud expects it. */
export function encodeProvisioningRequest(request: ProvisioningRequest): ProvisioningRequestOnWire {
  return {
    booking: request.requestId,
    build: request.machineType,
    yard: request.zone,
    loaners: request.spot,
    number: request.count,
  };
}

/** The names of the machines that were provisioned; null if they can not be read. */
export function parseProvisionedMachines(body: MessagePackMap): string[] | null {
  const parsed = provisionedMachinesOnWire.safeParse(body);
  return parsed.success ? parsed.data.hosts : null;
}

/** Whether a 503 says that the cloud has no machine of this type, zone and kind. */
export function isOutOfCapacity(body: MessagePackMap | null): boolean {
  return body?.error === NO_CAPACITY_ON_WIRE;
}

/** At most MAX_MACHINES_PER_RELEASE machines; names that the cloud does not know are ignored by it. */
export function encodeReleaseRequest(machines: string[]): ReleaseRequestOnWire {
  return { hosts: machines };
}
