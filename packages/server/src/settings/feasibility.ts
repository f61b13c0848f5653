/**
 * Refuses settings under which guarantees would be broken or nothing could be served, so that operators see it at the start
 * rather than users later.
 */
import { MAX_WATCH_WAIT_S, STATE_SOCKETS } from '@archpost/state-client';
import type { PlatformSettings, StateLimitFields } from './platform-settings.js';
import { SettingsError } from './settings-error.js';

/** Measured at a start on simulated machines, without work: 66 MB. */
const MIN_MEMORY_MB = 80;

/** Requests for its lease, its watch and a transaction. */
const STATE_REQUESTS_PER_S_PER_CONTROLLER = 4;

/** For the record of a job. */
const MIN_VALUE_KIB = 2;

/** For the links between controllers. */
const SOCKETS_PER_CONTROLLER = 4;

/** Sockets for workers and users, at the least. */
const MIN_INBOUND_SOCKETS = 64;

/** One limit and the least that a controller needs of it. */
interface Requirement {
  /** the field below `params` */
  field: string;
  have: number;
  need: number;
  /** what needs it, as the subject of a sentence */
  purpose: string;
}

/**
 * Checks the limits that a controller can't do without.
 *
 * @throws SettingsError that names the first field that is too small
 */
export function requireFeasibleSettings(path: string, settings: PlatformSettings): void {
  requireCancellationTime(path, settings.params.workers);
  for (const { field, have, need, purpose } of listRequirements(settings)) {
    if (have >= need) continue;
    const reason = `${have} is too little: ${purpose} takes ${need}`;
    throw new SettingsError({ source: path, field: `params.${field}`, reason });
  }
}

/**
 * Workers get responses for what this leaves after the last read of all changes: no less than the time between two
 * reads (docs/design.md, "Who may answer workers").
 */
function requireCancellationTime(path: string, workers: PlatformSettings['params']['workers']): void {
  const minCancelS = workers.lease_s + workers.report_s + MAX_WATCH_WAIT_S;
  if (workers.cancel_s > minCancelS) return;
  throw new SettingsError({
    source: path,
    field: 'params.workers.cancel_s',
    reason: `must exceed lease_s + report_s by more than ${MAX_WATCH_WAIT_S} s (${minCancelS}), but is ${workers.cancel_s}`,
  });
}

function listRequirements(settings: PlatformSettings): Requirement[] {
  const controllerCount = settings.others.length + 1;
  const { max_sockets, mem_mb } = settings.params.machine_limits;
  const { next, ...current } = settings.params.state;
  return [
    ...listStateRequirements('state', current, controllerCount),
    ...(next ? listStateRequirements('state.next', { ...current, ...next }, controllerCount) : []),
    { field: 'machine_limits.mem_mb', have: mem_mb, need: MIN_MEMORY_MB, purpose: 'the process without any work' },
    {
      field: 'machine_limits.max_sockets',
      have: max_sockets,
      need: STATE_SOCKETS + SOCKETS_PER_CONTROLLER * controllerCount + MIN_INBOUND_SOCKETS,
      purpose: 'the state service, the other controllers and a few workers and users',
    },
  ];
}

function listStateRequirements(table: string, limits: StateLimitFields, controllerCount: number): Requirement[] {
  return [
    {
      field: `${table}.write_rps`,
      have: limits.write_rps,
      need: controllerCount,
      purpose: 'a change a second for each controller',
    },
    {
      field: `${table}.rps`,
      have: limits.rps,
      need: STATE_REQUESTS_PER_S_PER_CONTROLLER * controllerCount,
      purpose: 'lease, watch and a transaction a second for each controller',
    },
    { field: `${table}.value_kb`, have: limits.value_kb, need: MIN_VALUE_KIB, purpose: 'the record of a job' },
  ];
}
