/** The operators' settings (deploy/archpost.hcl): their schema, and their mapping to the controller's policy. */
import type { Policy } from '@archpost/controller';
import * as z from 'zod';
import { positiveNumber } from './field-schemas.js';

/** Rejects unknown fields: the operators' file is written for this version, so an unknown field is a typo. */
export const operatorSchema = z.strictObject({
  plan_wait_s: positiveNumber.default(10),
  silent_s: positiveNumber.nullish(),
  hold: z.boolean().default(false),
  idle_s: positiveNumber.default(40),
  max_machines: z.number().int().positive().nullish(),
});

/** The operators' settings after validation, with defaults filled in. */
export type OperatorSettings = z.infer<typeof operatorSchema>;

/** The default of `silent_s`, in heartbeat intervals: three missed heartbeats, and an allowance for a retransmitted packet. */
const DEFAULT_SILENCE_HEARTBEATS = 3.5;

/** Maps the operators' settings to the policy. `heartbeatIntervalS`: the platform's heartbeat interval, in seconds. */
export function toPolicy(operator: OperatorSettings, heartbeatIntervalS: number): Policy {
  return {
    planWaitS: operator.plan_wait_s,
    silentS: operator.silent_s ?? heartbeatIntervalS * DEFAULT_SILENCE_HEARTBEATS,
    holdSpareCapacity: operator.hold,
    idleS: operator.idle_s,
    maxMachines: operator.max_machines ?? null,
  };
}
