import { STATE_SOCKETS, WATCH_S } from '@archpost/state-client';
import type { z } from 'zod';
import type { platformSchema, stateLimitFields } from './platform-settings.js';
import { SettingsError } from './settings-error.js';

/** Measured at a start on simulated machines, without work: 66 MB. */
const MIN_MEMORY_MB = 80;

/** What of a limit has to be there for a controller to run at all; the reason is what it is for. */
function requireAtLeast(path: string, field: string, have: number, need: number, purpose: string): void {
  if (have < need) throw new SettingsError(`${path}: params.${field}: ${have} is too little: ${purpose} takes ${need}`);
}

function requireStateLimits(
  path: string,
  field: string,
  limits: z.infer<z.ZodObject<typeof stateLimitFields>>,
  controllerCount: number,
): void {
  requireAtLeast(path, `${field}.write_rps`, limits.write_rps, controllerCount, 'a change a second for each controller');
  requireAtLeast(
    path,
    `${field}.rps`,
    limits.rps,
    4 * controllerCount,
    'lease, watch and a transaction a second for each controller',
  );
  requireAtLeast(path, `${field}.value_kb`, limits.value_kb, 2, 'the record of a job');
}

/**
 * Settings under which rules could not be kept, or nothing could be served, are refused here
 * rather than found out by users.
 */
export function requireFeasibleSettings(path: string, settings: z.infer<typeof platformSchema>): void {
  const controllerCount = settings.others.length + 1;
  const workers = settings.params.workers;
  // Workers are answered for what this leaves after the last reading of all changes: no less
  // than the time between two readings (docs/design.md, "Who may answer workers").
  const minCancelS = workers.lease_s + workers.report_s + WATCH_S;
  if (workers.cancel_s <= minCancelS)
    throw new SettingsError(
      `${path}: params.workers.cancel_s: must exceed lease_s + report_s by more than ${WATCH_S} s (${minCancelS}), but is ${workers.cancel_s}`,
    );
  const { max_sockets, mem_mb } = settings.params.machine_limits;
  const { next, ...present } = settings.params.state;
  requireStateLimits(path, 'state', present, controllerCount);
  if (next) requireStateLimits(path, 'state.next', { ...present, ...next }, controllerCount);
  requireAtLeast(path, 'machine_limits.mem_mb', mem_mb, MIN_MEMORY_MB, 'the process without any work');
  requireAtLeast(
    path,
    'machine_limits.max_sockets',
    max_sockets,
    STATE_SOCKETS + 4 * controllerCount + 64,
    'the state service, the other controllers and a few workers and users',
  );
}
