import type { ControllerSettings, Policy, StateLimits } from '@archpost/controller';
import type { z } from 'zod';
import { requireFeasibleSettings } from './feasibility.js';
import { operatorSchema } from './operator-settings.js';
import { platformSchema, type stateLimitFields } from './platform-settings.js';
import { SettingsError } from './settings-error.js';
import { parseOperatorJson, parseToml, validate } from './settings-file.js';

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
