/** The operators' settings (deploy/archpost.hcl): their schema, and the policy that the controller takes from them. */
import type { Policy } from '@archpost/controller';
import * as z from 'zod';
import { positiveNumber } from './field-schemas.js';

/** Unknown fields are refused: the operators' file is written for this version, so they are typing errors. */
export const operatorSchema = z.strictObject({
  plan_wait_s: positiveNumber.default(10),
  silent_s: positiveNumber.nullish(),
  hold: z.boolean().default(false),
  idle_s: positiveNumber.default(40),
  max_machines: z.number().int().positive().nullish(),
});

/** The operators' file, validated and with its defaults. */
export type OperatorSettings = z.infer<typeof operatorSchema>;

/** Heartbeats after which a machine counts as silent by default: three missed, and some more for a packet sent again. */
const DEFAULT_SILENCE_HEARTBEATS = 3.5;

/** The policy that the operators chose; `heartbeatIntervalS` is the platform's, in seconds. */
export function toPolicy(operator: OperatorSettings, heartbeatIntervalS: number): Policy {
  return {
    planWaitS: operator.plan_wait_s,
    silentS: operator.silent_s ?? heartbeatIntervalS * DEFAULT_SILENCE_HEARTBEATS,
    holdSpareCapacity: operator.hold,
    idleS: operator.idle_s,
    maxMachines: operator.max_machines ?? null,
  };
}
