/**
 * Rejects settings under which the service would violate its guarantees or couldn't serve any request, so that operators
 * notice the problem at the start instead of users later.
 */
import { MAX_WATCH_WAIT_S, STATE_SOCKETS } from '@archpost/state-client';
import type { PlatformSettings, StateLimitFields } from './platform-settings.js';
import { SettingsError } from './settings-error.js';

/** On simulated machines, a process without work takes 66 MB after its start. */
const MIN_MEMORY_MB = 80;

/** Requests of a controller for its lease, its watch and a transaction. */
const STATE_REQUESTS_PER_S_PER_CONTROLLER = 4;

/** A value must be able to hold the record of a job. */
const MIN_VALUE_KIB = 2;

/** Sockets per controller for the links between controllers. */
const SOCKETS_PER_CONTROLLER = 4;

/** Minimum number of sockets for workers and users. */
const MIN_INBOUND_SOCKETS = 64;

/** A limit, and the minimum that a controller needs. */
interface Requirement {
  /** the field, as a path below `params` */
  field: string;
  have: number;
  need: number;
  /** what the minimum is needed for, as the subject of a sentence */
  purpose: string;
}

/**
 * Checks that each limit has the minimum without which a controller can't run.
 *
 * @throws SettingsError naming the first field that is too small
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
 * Checks the time limit of cancellations. After each read of all changes, workers get responses for the part of `cancel_s`
 * that exceeds `lease_s + report_s`. That part must be longer than the time between two reads, `MAX_WATCH_WAIT_S`
 * (docs/design.md, "Who may answer workers").
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
