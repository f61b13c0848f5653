import { readFileSync } from 'node:fs';
import type { ControllerSettings, Policy, StateLimits } from '@archpost/controller';
import { STATE_SOCKETS, WATCH_S } from '@archpost/state-client';
import { parse } from 'smol-toml';
import { z } from 'zod';

export class SettingsError extends Error {}

const text = z.string().min(1);
const addr = z.string().regex(/^[0-9.]+:\d{1,5}$/, 'must be an address such as 10.0.0.1:8080');
const positive = z.number().positive();
const amount = z.number().min(0);

const stateLimits = { rps: positive, write_rps: positive, value_kb: positive, txn_ops: z.number().int().min(1) };

const file = z.object({
  host_name: text,
  location: text,
  public_addr: addr,
  peer_listen: addr,
  others: z.array(z.object({ host_name: text, location: text, peer_addr: addr })).default([]),
  external: z.object({ cloud: addr, state: addr }),
  params: z.object({
    initial_size: z.number().int().min(1).max(64),
    zones: z.array(text).min(1),
    clock_error_ms: amount.default(0),
    teams: z.array(z.object({ name: text, cpus: amount, cpus_max: amount, gpus: amount, gpus_max: amount })).min(1),
    objectives: z
      .array(
        z.object({
          kind: text,
          class: z.string().nullish(),
          within_s: amount.nullish(),
          after_s: amount.nullish(),
          share: amount.nullish(),
          most: amount.nullish(),
          times: amount.nullish(),
        }),
      )
      .default([]),
    workers: z.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: z.object({ ...stateLimits, next: z.object(stateLimits).partial().nullish() }),
    cloud: z.object({ rps: positive, list_lag_s: amount }),
    machine_limits: z.object({ cpu_share: positive, mem_mb: positive, max_sockets: positive }),
  }),
});

const operator = z.strictObject({
  plan_wait_s: positive.default(10),
  silent_s: positive.nullish(),
  hold: z.boolean().default(false),
  idle_s: positive.default(40),
  max_machines: z.number().int().positive().nullish(),
});

export interface Settings {
  core: ControllerSettings;
  publicAddr: string;
  peerListen: string;
  others: { name: string; addr: string }[];
  cloud: string;
  state: string;
  clockErrorMs: number;
  maxSockets: number;
  memoryMb: number;
}

function check<T>(name: string, schema: z.ZodType<T>, value: unknown): T {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  throw new SettingsError(`${name}: ${issue?.path.join('.') || 'file'}: ${issue?.message ?? 'invalid'}`);
}

function read(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new SettingsError(
      `${path}: ${(error as NodeJS.ErrnoException).code === 'ENOENT' ? 'no such file' : (error as Error).message}`,
    );
  }
}

function parseToml(path: string): unknown {
  try {
    return parse(read(path));
  } catch (error) {
    if (error instanceof SettingsError) throw error;
    throw new SettingsError(`${path}: not valid TOML: ${(error as Error).message.split('\n')[0]}`);
  }
}

function parseOperator(path: string): unknown {
  try {
    return JSON.parse(read(path));
  } catch (error) {
    if (error instanceof SettingsError) throw error;
    throw new SettingsError(`${path}: not valid JSON (the build makes it of the HCL file)`);
  }
}

/** What of a limit has to be there for a controller to run at all; the reason is what it is for. */
function enough(path: string, field: string, have: number, resources: number, what: string): void {
  if (have < resources) throw new SettingsError(`${path}: params.${field}: ${have} is too little: ${what} takes ${resources}`);
}

function enoughState(
  path: string,
  field: string,
  limits: z.infer<z.ZodObject<typeof stateLimits>>,
  controllerCount: number,
): void {
  enough(path, `${field}.write_rps`, limits.write_rps, controllerCount, 'a change a second for each controller');
  enough(path, `${field}.rps`, limits.rps, 4 * controllerCount, 'lease, watch and a transaction a second for each controller');
  enough(path, `${field}.value_kb`, limits.value_kb, 2, 'the record of a job');
}

/**
 * Settings under which rules could not be kept, or nothing could be served, are refused here
 * rather than found out by users.
 */
function refuseHopeless(path: string, settings: z.infer<typeof file>): void {
  const controllerCount = settings.others.length + 1;
  const workers = settings.params.workers;
  // Workers are answered for what this leaves after the last reading of all changes: no less
  // than the time between two readings (docs/design.md, "Who may answer workers").
  const least = workers.lease_s + workers.report_s + WATCH_S;
  if (workers.cancel_s <= least)
    throw new SettingsError(
      `${path}: params.workers.cancel_s: must exceed lease_s + report_s by more than ${WATCH_S} s (${least}), but is ${workers.cancel_s}`,
    );
  const { max_sockets, mem_mb } = settings.params.machine_limits;
  const { next, ...present } = settings.params.state;
  enoughState(path, 'state', present, controllerCount);
  if (next) enoughState(path, 'state.next', { ...present, ...next }, controllerCount);
  enough(path, 'machine_limits.mem_mb', mem_mb, LEAST_MB, 'the process without any work');
  enough(
    path,
    'machine_limits.max_sockets',
    max_sockets,
    STATE_SOCKETS + 4 * controllerCount + 64,
    'the state service, the other controllers and a few workers and users',
  );
}

/** Measured at a start on simulated machines, without work: 66 MB. */
const LEAST_MB = 80;

/** Only the limits that are announced. */
function nextLimits(next: Partial<z.infer<z.ZodObject<typeof stateLimits>>>): Partial<StateLimits> {
  const limits: Partial<StateLimits> = {};
  if (next.rps !== undefined) limits.requestsPerS = next.rps;
  if (next.write_rps !== undefined) limits.writesPerS = next.write_rps;
  if (next.value_kb !== undefined) limits.valueKib = next.value_kb;
  if (next.txn_ops !== undefined) limits.writesPerTransaction = next.txn_ops;
  return limits;
}

export function loadSettings(path: string, operatorPath: string | null): Settings {
  const platform = check(path, file, parseToml(path));
  const operatorSettings = check(
    operatorPath ?? 'operator settings',
    operator,
    operatorPath === null ? {} : parseOperator(operatorPath),
  );
  refuseHopeless(path, platform);
  const names = [platform.host_name, ...platform.others.map((other) => other.host_name)];
  if (new Set(names).size !== names.length) throw new SettingsError(`${path}: others: host_name given twice`);
  const policy: Policy = {
    planWaitS: operatorSettings.plan_wait_s,
    // Three reports missed, and some more for a packet sent again.
    silentS: operatorSettings.silent_s ?? platform.params.workers.report_s * 3.5,
    holdSpareCapacity: operatorSettings.hold,
    idleS: operatorSettings.idle_s,
    maxMachines: operatorSettings.max_machines ?? null,
  };
  const workers = platform.params.workers;
  return {
    core: {
      name: platform.host_name,
      zone: platform.location,
      controllers: [
        { name: platform.host_name, zone: platform.location },
        ...platform.others.map((other) => ({ name: other.host_name, zone: other.location })),
      ].sort((a, b) => (a.name < b.name ? -1 : 1)),
      shardCount: platform.params.initial_size,
      zones: platform.params.zones,
      teams: platform.params.teams.map((team) => ({
        name: team.name,
        cpus: team.cpus,
        maxCpus: team.cpus_max,
        gpus: team.gpus,
        maxGpus: team.gpus_max,
      })),
      objectives: platform.params.objectives.map((objective) => ({
        kind: objective.kind,
        jobClass: objective.class ?? null,
        withinS: objective.within_s ?? null,
        afterS: objective.after_s ?? null,
        share: objective.share ?? null,
        most: objective.most ?? null,
        deadlineMultiple: objective.times ?? null,
      })),
      workers: {
        heartbeatIntervalS: workers.report_s,
        leaseS: workers.lease_s,
        gangWaitS: workers.gang_wait_s,
        gangPeerS: workers.gang_peer_s,
        cancelS: workers.cancel_s,
      },
      cpuShare: platform.params.machine_limits.cpu_share,
      maxSockets: platform.params.machine_limits.max_sockets,
      state: {
        requestsPerS: platform.params.state.rps,
        writesPerS: platform.params.state.write_rps,
        valueKib: platform.params.state.value_kb,
        writesPerTransaction: platform.params.state.txn_ops,
        next: platform.params.state.next ? nextLimits(platform.params.state.next) : null,
      },
      cloud: { requestsPerS: platform.params.cloud.rps, listLagS: platform.params.cloud.list_lag_s },
      policy,
    },
    publicAddr: platform.public_addr,
    peerListen: platform.peer_listen,
    others: platform.others.map((other) => ({ name: other.host_name, addr: other.peer_addr })),
    cloud: platform.external.cloud,
    state: platform.external.state,
    clockErrorMs: platform.params.clock_error_ms,
    maxSockets: platform.params.machine_limits.max_sockets,
    memoryMb: platform.params.machine_limits.mem_mb,
  };
}
