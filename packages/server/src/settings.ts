import { readFileSync } from 'node:fs';
import type { ControllerSettings, Policy, StateLimits } from '@archpost/controller';
import { STATE_SOCKETS, WATCH_S } from '@archpost/state-client';
import { parse } from 'smol-toml';
import { z } from 'zod';

export class SettingsError extends Error {}

const nonEmptyString = z.string().min(1);
const socketAddress = z.string().regex(/^[0-9.]+:\d{1,5}$/, 'must be an address such as 10.0.0.1:8080');
const positiveNumber = z.number().positive();
const nonNegative = z.number().min(0);

const stateLimitFields = {
  rps: positiveNumber,
  write_rps: positiveNumber,
  value_kb: positiveNumber,
  txn_ops: z.number().int().min(1),
};

const platformSchema = z.object({
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

const operatorSchema = z.strictObject({
  plan_wait_s: positiveNumber.default(10),
  silent_s: positiveNumber.nullish(),
  hold: z.boolean().default(false),
  idle_s: positiveNumber.default(40),
  max_machines: z.number().int().positive().nullish(),
});

export interface Settings {
  controller: ControllerSettings;
  publicAddr: string;
  peerListen: string;
  peers: { name: string; addr: string }[];
  cloud: string;
  state: string;
  clockErrorMs: number;
  maxSockets: number;
  memoryMb: number;
}

function validate<T>(name: string, schema: z.ZodType<T>, value: unknown): T {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  throw new SettingsError(`${name}: ${issue?.path.join('.') || 'file'}: ${issue?.message ?? 'invalid'}`);
}

function readSettingsFile(path: string): string {
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
    return parse(readSettingsFile(path));
  } catch (error) {
    if (error instanceof SettingsError) throw error;
    throw new SettingsError(`${path}: not valid TOML: ${(error as Error).message.split('\n')[0]}`);
  }
}

function parseOperatorJson(path: string): unknown {
  try {
    return JSON.parse(readSettingsFile(path));
  } catch (error) {
    if (error instanceof SettingsError) throw error;
    throw new SettingsError(`${path}: not valid JSON (the build makes it of the HCL file)`);
  }
}

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
function requireFeasibleSettings(path: string, settings: z.infer<typeof platformSchema>): void {
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

/** Measured at a start on simulated machines, without work: 66 MB. */
const MIN_MEMORY_MB = 80;

/** Only the limits that are announced. */
function mapAnnouncedLimits(next: Partial<z.infer<z.ZodObject<typeof stateLimitFields>>>): Partial<StateLimits> {
  const limits: Partial<StateLimits> = {};
  if (next.rps !== undefined) limits.requestsPerS = next.rps;
  if (next.write_rps !== undefined) limits.writesPerS = next.write_rps;
  if (next.value_kb !== undefined) limits.valueKib = next.value_kb;
  if (next.txn_ops !== undefined) limits.writesPerTransaction = next.txn_ops;
  return limits;
}

export function loadSettings(path: string, operatorPath: string | null): Settings {
  const platform = validate(path, platformSchema, parseToml(path));
  const operatorSettings = validate(
    operatorPath ?? 'operator settings',
    operatorSchema,
    operatorPath === null ? {} : parseOperatorJson(operatorPath),
  );
  requireFeasibleSettings(path, platform);
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
    controller: {
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
        next: platform.params.state.next ? mapAnnouncedLimits(platform.params.state.next) : null,
      },
      cloud: { requestsPerS: platform.params.cloud.rps, listLagS: platform.params.cloud.list_lag_s },
      policy,
    },
    publicAddr: platform.public_addr,
    peerListen: platform.peer_listen,
    peers: platform.others.map((other) => ({ name: other.host_name, addr: other.peer_addr })),
    cloud: platform.external.cloud,
    state: platform.external.state,
    clockErrorMs: platform.params.clock_error_ms,
    maxSockets: platform.params.machine_limits.max_sockets,
    memoryMb: platform.params.machine_limits.mem_mb,
  };
}
