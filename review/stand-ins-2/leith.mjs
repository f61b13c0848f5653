/** The settings of a small deployment: Leith, as BRIEF has it (three controllers, two zones). */
import { Cloud } from './cloud.mjs';
import { Controllers } from './controllers.mjs';
import { StateService } from './state-service.mjs';
import { Users } from './users.mjs';

export const ZONES = ['leith', 'glasgow'];
export const CONTROLLER_ZONES = ['leith', 'glasgow', 'leith'];
export const ALL = [0, 1, 2];

/** A process is back about 4 s after an end. */
export const RESTART_DELAY_MS = 4000;

export const TEAMS = [
  { name: 'ingest-crew', gpus: 16, gpusMax: 70 },
  { name: 'analytics', gpus: 16, gpusMax: 70 },
  { name: 'ml-wing', gpus: 8, gpusMax: 50 },
  { name: 'firmware', gpus: 8, gpusMax: 35 },
  { name: 'field-ops', gpus: 16, gpusMax: 120 },
  { name: 'client-portal', gpus: 16, gpusMax: 50 },
];

/** The two types without accelerators, with the properties in the site file. */
export const TYPES = [
  { name: 'wee-node', cores: 16, accelerators: 0, memory_gb: 64, cache_gb: 50, fetch_gb_per_s: 0.25, hourly: 1.05, spot_price: 0.27, boot_s: 15, yards: ZONES },
  { name: 'mid-node', cores: 32, accelerators: 0, memory_gb: 256, cache_gb: 25, fetch_gb_per_s: 0.8, hourly: 2.85, spot_price: 0.83, boot_s: 50, yards: ZONES },
];

const LIST_LAG_S = 8;
const STATE = { rps: 250, write_rps: 100, value_kb: 8, txn_ops: 24 };
export const WORKERS = { report_s: 2, lease_s: 10, gang_wait_s: 30, gang_peer_s: 4, cancel_s: 35 };

/** The workers' times of the hunt (kit/more/hunt). */
export const HUNT_WORKERS = { ...WORKERS, report_s: 2.5, lease_s: 15.25, cancel_s: 40.25 };

/**
 * Starts the stand-ins and prepares the controllers, which the case starts. `ledger`: the changes that the state service counted so
 * far; `runMs`: how long a task runs.
 */
export async function leith({ record, onEnd, teams = TEAMS, workers = WORKERS, ledger = 0, runMs = () => Number.POSITIVE_INFINITY }) {
  const cloud = new Cloud({ types: TYPES, reportS: workers.report_s, leaseS: workers.lease_s, runMs, record, listLagS: LIST_LAG_S });
  const state = new StateService({ ledger, rps: STATE.rps, writeRps: STATE.write_rps, valueKb: STATE.value_kb, txnOps: STATE.txn_ops });
  onEnd(() => cloud.close());
  onEnd(() => state.close());
  const site = {
    zones: ZONES,
    teams,
    cloud: await cloud.start(),
    state: await state.start(),
    params: {
      workers,
      state: STATE,
      cloud: { rps: 3, list_lag_s: LIST_LAG_S },
      machine_limits: { cpu_share: 0.34, mem_mb: 178, max_sockets: 1000 },
    },
  };
  const controllers = new Controllers(site, CONTROLLER_ZONES, record);
  onEnd(() => controllers.close());
  await controllers.prepare();
  cloud.setNodes(controllers.nodes.map(({ name }) => name), controllers.addresses);
  return { cloud, state, controllers, users: new Users(cloud, controllers.addresses, record) };
}

/** Waits until `isDone`, at most `timeoutMs`. Returns whether it is. */
export async function until(isDone, timeoutMs, sleep) {
  const end = performance.now() + timeoutMs;
  while (!(await isDone()) && performance.now() < end) await sleep(200);
  return isDone();
}
