import { z } from 'zod';
import { nonEmptyString, nonNegative, positiveNumber, socketAddress } from './field-schemas.js';

export const stateLimitFields = {
  rps: positiveNumber,
  write_rps: positiveNumber,
  value_kb: positiveNumber,
  txn_ops: z.number().int().min(1),
};

export const platformSchema = z.object({
  host_name: nonEmptyString,
  location: nonEmptyString,
  public_addr: socketAddress,
  peer_listen: socketAddress,
  others: z.array(z.object({ host_name: nonEmptyString, location: nonEmptyString, peer_addr: socketAddress })).default([]),
  external: z.object({ cloud: socketAddress, state: socketAddress }),
  params: z.object({
    initial_size: z.number().int().min(1).max(64),
    zones: z.array(nonEmptyString).min(1),
    clock_error_ms: nonNegative.default(0),
    teams: z
      .array(
        z.object({ name: nonEmptyString, cpus: nonNegative, cpus_max: nonNegative, gpus: nonNegative, gpus_max: nonNegative }),
      )
      .min(1),
    objectives: z
      .array(
        z.object({
          kind: nonEmptyString,
          class: z.string().nullish(),
          within_s: nonNegative.nullish(),
          after_s: nonNegative.nullish(),
          share: nonNegative.nullish(),
          most: nonNegative.nullish(),
          times: nonNegative.nullish(),
        }),
      )
      .default([]),
    workers: z.object({
      report_s: positiveNumber,
      lease_s: positiveNumber,
      gang_wait_s: positiveNumber,
      gang_peer_s: positiveNumber,
      cancel_s: positiveNumber,
    }),
    state: z.object({ ...stateLimitFields, next: z.object(stateLimitFields).partial().nullish() }),
    cloud: z.object({ rps: positiveNumber, list_lag_s: nonNegative }),
    machine_limits: z.object({ cpu_share: positiveNumber, mem_mb: positiveNumber, max_sockets: positiveNumber }),
  }),
});
