/**
 * The stored status of a controller, for the leader while the link between the two is down. Stored field names are fixed:
 * other versions read and write the same records under `a/s/`. The tables below map each field of the model to its stored
 * name. Their order is the order of the stored fields.
 */
import type { MachineSummary, PeerStatus, ResourceDemand, ShardSummary } from '@archpost/protocol';
import { type FieldTable, fromStoredFields, type StoredFields, toStoredFields } from './field-table.js';

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

/** Running jobs and unchanged heartbeats aren't stored: their lists are empty in each stored status. */
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

function toStoredShard(shard: ShardSummary): StoredFields {
  return {
    ...toStoredFields(shard, SHARD_FIELDS),
    [SHARD_FIELDS.machines]: shard.machines.map((machine) => toStoredFields(machine, MACHINE_FIELDS)),
    [SHARD_FIELDS.demands]: shard.demands.map((demand) => toStoredFields(demand, DEMAND_FIELDS)),
  };
}

function fromStoredShard(stored: unknown): ShardSummary {
  const shard = fromStoredFields<ShardSummary>(stored, SHARD_FIELDS);
  shard.machines = shard.machines.map((machine) => fromStoredFields<MachineSummary>(machine, MACHINE_FIELDS));
  shard.demands = shard.demands.map((demand) => fromStoredFields<ResourceDemand>(demand, DEMAND_FIELDS));
  return shard;
}

/** Returns the record of a status, to be stored under `a/s/`. */
export function encodeStatus(status: PeerStatus): unknown {
  return {
    ...toStoredFields(status, STATUS_FIELDS),
    [STATUS_FIELDS.shards]: status.shards.map(toStoredShard),
    [STATUS_FIELDS.unassignedMachines]: status.unassignedMachines.map((machine) =>
      toStoredFields(machine, UNASSIGNED_MACHINE_FIELDS),
    ),
  };
}

/** Decodes the status that another controller stored; null if the value is no status. */
export function parseStatus(value: unknown): PeerStatus | null {
  if (!isStoredStatus(value)) return null;
  const status = fromStoredFields<PeerStatus>(value, STATUS_FIELDS);
  status.shards = status.shards.map(fromStoredShard);
  status.unassignedMachines = status.unassignedMachines.map((machine) =>
    fromStoredFields<UnassignedMachine>(machine, UNASSIGNED_MACHINE_FIELDS),
  );
  return status;
}

/** The stored names of the lists that each stored status has. */
const STATUS_LISTS = [
  STATUS_FIELDS.shards,
  STATUS_FIELDS.runningJobs,
  STATUS_FIELDS.unassignedMachines,
  STATUS_FIELDS.unchangedHeartbeats,
  STATUS_FIELDS.availableTypes,
];

/** Whether the value has the controller name and the lists of a stored status. The other fields aren't validated. */
function isStoredStatus(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return false;
  const stored = value as StoredFields;
  if (typeof stored[STATUS_FIELDS.node] !== 'string') return false;
  if (!STATUS_LISTS.every((name) => Array.isArray(stored[name]))) return false;
  return (stored[STATUS_FIELDS.shards] as unknown[]).every(isStoredShard);
}

function isStoredShard(value: unknown): boolean {
  const stored = value as StoredFields | null | undefined;
  return Array.isArray(stored?.[SHARD_FIELDS.machines]) && Array.isArray(stored[SHARD_FIELDS.demands]);
}
