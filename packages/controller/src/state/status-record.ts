/**
 * The stored status of a controller, for the leader while the link between them is down. Stored field names are fixed:
 * other versions read and write the same records under `a/s/`. The tables below give, for each field of the model, the name
 * under which it is stored; their order is the order of the stored fields.
 */
import type { MachineSummary, PeerStatus, ResourceDemand, ShardSummary } from '@archpost/protocol';

type FieldTable<Model> = Readonly<Record<keyof Model, string>>;

type UnassignedMachine = PeerStatus['unassignedMachines'][number];

const MACHINE_FIELDS: FieldTable<MachineSummary> = {
  name: 'name',
  freeCpus: 'freeCpus',
  freeGpus: 'freeGpus',
  freeMemory: 'freeMemory',
  tasks: 'tasks',
  protectedPriority: 'firmRank',
  idleS: 'idleS',
  services: 'services',
};

const DEMAND_FIELDS: FieldTable<ResourceDemand> = {
  cpus: 'cpus',
  gpus: 'gpus',
  memory: 'memory',
  types: 'types',
  zone: 'zone',
  spot: 'spot',
  priority: 'rank',
  withinQuota: 'within',
  count: 'count',
  gang: 'gang',
  waitS: 'waitS',
  slackS: 'slackS',
  excludedZones: 'notZones',
};

const SHARD_FIELDS: FieldTable<ShardSummary> = { shard: 'share', machines: 'machines', demands: 'demands' };

const UNASSIGNED_MACHINE_FIELDS: FieldTable<UnassignedMachine> = {
  machine: 'machine',
  address: 'addr',
  type: 'type',
  zone: 'zone',
  spot: 'spot',
};

/** Running jobs and unchanged heartbeats aren't stored: their lists are empty in every stored status. */
const STATUS_FIELDS: FieldTable<PeerStatus> = {
  node: 'node',
  shards: 'shares',
  runningJobs: 'running',
  runningJobsComplete: 'runningAll',
  unassignedMachines: 'strangers',
  unchangedHeartbeats: 'heard',
  availableTypes: 'plenty',
  isLeader: 'lead',
  mayAnswerWorkers: 'entitled',
  reachesWorkers: 'reach',
  wantedWritesPerS: 'writes',
  stateServiceAnswers: 'storeOk',
  heardWorkers: 'hears',
  replicaLoaded: 'loaded',
  cancellationRevision: 'cancelStamp',
  ping: 'ping',
  echo: 'echo',
};

/** A record with the fields of the model under their stored names, in the order of the table. */
function toStored<Model extends object>(model: Model, fields: FieldTable<Model>): Record<string, unknown> {
  const stored: Record<string, unknown> = {};
  for (const field of Object.keys(fields) as (keyof Model)[]) stored[fields[field]] = model[field];
  return stored;
}

/**
 * The model of a stored record. What isn't a record is returned as it is, and a field that the record lacks stays undefined:
 * other versions write fewer fields, and the leader takes such a status as far as it goes.
 */
function fromStored<Model extends object>(stored: unknown, fields: FieldTable<Model>): Model {
  if (typeof stored !== 'object' || stored === null) return stored as unknown as Model;
  const model: Partial<Model> = {};
  const record = stored as Record<string, unknown>;
  for (const field of Object.keys(fields) as (keyof Model)[]) model[field] = record[fields[field]] as Model[keyof Model];
  return model as Model;
}

function toStoredShard(shard: ShardSummary): Record<string, unknown> {
  return {
    ...toStored(shard, SHARD_FIELDS),
    [SHARD_FIELDS.machines]: shard.machines.map((machine) => toStored(machine, MACHINE_FIELDS)),
    [SHARD_FIELDS.demands]: shard.demands.map((demand) => toStored(demand, DEMAND_FIELDS)),
  };
}

function fromStoredShard(stored: unknown): ShardSummary {
  const shard = fromStored<ShardSummary>(stored, SHARD_FIELDS);
  shard.machines = shard.machines.map((machine) => fromStored<MachineSummary>(machine, MACHINE_FIELDS));
  shard.demands = shard.demands.map((demand) => fromStored<ResourceDemand>(demand, DEMAND_FIELDS));
  return shard;
}

/** The record of a status, to be stored under `a/s/`. */
export function encodeStatus(status: PeerStatus): unknown {
  return {
    ...toStored(status, STATUS_FIELDS),
    [STATUS_FIELDS.shards]: status.shards.map(toStoredShard),
    [STATUS_FIELDS.unassignedMachines]: status.unassignedMachines.map((machine) => toStored(machine, UNASSIGNED_MACHINE_FIELDS)),
  };
}

/** The status that another controller stored; null if the value is no status. */
export function parseStatus(value: unknown): PeerStatus | null {
  if (!isStoredStatus(value)) return null;
  const status = fromStored<PeerStatus>(value, STATUS_FIELDS);
  status.shards = status.shards.map(fromStoredShard);
  status.unassignedMachines = status.unassignedMachines.map((machine) =>
    fromStored<UnassignedMachine>(machine, UNASSIGNED_MACHINE_FIELDS),
  );
  return status;
}

/** Lists that each stored status has. */
const STATUS_LISTS = [
  STATUS_FIELDS.shards,
  STATUS_FIELDS.runningJobs,
  STATUS_FIELDS.unassignedMachines,
  STATUS_FIELDS.unchangedHeartbeats,
  STATUS_FIELDS.availableTypes,
];

/** Has the value the name and the lists that each stored status has? Single fields aren't checked. */
function isStoredStatus(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return false;
  const stored = value as Record<string, unknown>;
  if (typeof stored[STATUS_FIELDS.node] !== 'string') return false;
  if (!STATUS_LISTS.every((name) => Array.isArray(stored[name]))) return false;
  return (stored[STATUS_FIELDS.shards] as unknown[]).every(isStoredShard);
}

function isStoredShard(value: unknown): boolean {
  const stored = value as Record<string, unknown> | null | undefined;
  return Array.isArray(stored?.[SHARD_FIELDS.machines]) && Array.isArray(stored[SHARD_FIELDS.demands]);
}
