import { z } from 'zod';
import { positiveNumber } from './field-schemas.js';

export const operatorSchema = z.strictObject({
  plan_wait_s: positiveNumber.default(10),
  silent_s: positiveNumber.nullish(),
  hold: z.boolean().default(false),
  idle_s: positiveNumber.default(40),
  max_machines: z.number().int().positive().nullish(),
});
