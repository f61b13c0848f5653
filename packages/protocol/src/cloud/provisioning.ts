import { z } from 'zod';

/** Most machines that the cloud takes in one request. */
export const MAX_MACHINES_PER_PROVISIONING = 50;
export const MAX_MACHINES_PER_RELEASE = 100;

export interface ProvisioningRequest {
  requestId: string;
  machineType: string;
  zone: string;
  spot: boolean;
  count: number;
}

export const encodeProvisioningRequest = (request: ProvisioningRequest) => ({
  booking: request.requestId,
  build: request.machineType,
  yard: request.zone,
  loaners: request.spot,
  number: request.count,
});

export const encodeReleaseRequest = (machines: string[]) => ({ hosts: machines });

export function parseProvisionedMachines(body: Record<string, unknown>): string[] | null {
  const parsed = z.object({ hosts: z.array(z.string()) }).safeParse(body);
  return parsed.success ? parsed.data.hosts : null;
}
