/**
 * The stored status of a controller, for the leader while the link between them is down. Stored field names are fixed:
 * other versions read and write the same records under `a/s/`. The tables below give, for each field of the model, the name
 * under which it is stored; their order is the order of the stored fields.
 */
import type { PeerDemand, PeerMachine, PeerShare, PeerStatus } from '@archpost/protocol';

type FieldTable<Model> = Readonly<Record<keyof Model, string>>;

type Stranger = PeerStatus['strangers'][number];

const MACHINE_FIELDS: FieldTable<PeerMachine> = {
  name: 'name',
  freeCpus: 'freeCpus',
  freeGpus: 'freeGpus',
  freeMemory: 'freeMemory',
  tasks: 'tasks',
  firmRank: 'firmRank',
  idleS: 'idleS',
  services: 'services',
};

const DEMAND_FIELDS: FieldTable<PeerDemand> = {
  cpus: 'cpus',
  gpus: 'gpus',
  memory: 'memory',
  types: 'types',
  zone: 'zone',
  spot: 'spot',
  rank: 'rank',
  within: 'within',
  count: 'count',
  gang: 'gang',
  waitS: 'waitS',
  slackS: 'slackS',
  notZones: 'notZones',
};

const SHARD_FIELDS: FieldTable<PeerShare> = { share: 'share', machines: 'machines', demands: 'demands' };

const UNASSIGNED_MACHINE_FIELDS: FieldTable<Stranger> = {
  machine: 'machine',
  addr: 'addr',
  type: 'type',
  zone: 'zone',
  spot: 'spot',
};

/** Running jobs and unchanged heartbeats are never stored: their lists are empty in every stored status. */
const STATUS_FIELDS: FieldTable<PeerStatus> = {
  node: 'node',
  shares: 'shares',
  running: 'running',
  runningAll: 'runningAll',
  strangers: 'strangers',
  heard: 'heard',
  plenty: 'plenty',
  lead: 'lead',
  entitled: 'entitled',
  reach: 'reach',
  writes: 'writes',
  storeOk: 'storeOk',
  hears: 'hears',
  loaded: 'loaded',
  cancelStamp: 'cancelStamp',
  ping: 'ping',
  echo: 'echo',
};

/** A record with the fields of the model under their stored names. */
function toStored<Model extends object>(model: Model, fields: FieldTable<Model>): Record<string, unknown> {
  const stored: Record<string, unknown> = {};
  for (const field of Object.keys(fields) as (keyof Model)[]) stored[fields[field]] = model[field];
  return stored;
}

/** The model of a stored record. What the record lacks, or holds in place of a record, is handed on as it is. */
function fromStored<Model extends object>(stored: unknown, fields: FieldTable<Model>): Model {
  if (typeof stored !== 'object' || stored === null) return stored as unknown as Model;
  const model: Partial<Model> = {};
  const record = stored as Record<string, unknown>;
  for (const field of Object.keys(fields) as (keyof Model)[]) model[field] = record[fields[field]] as Model[keyof Model];
  return model as Model;
}

/** The record of a status. */
export function encodeStatus(status: PeerStatus): unknown {
  const stored = toStored(status, STATUS_FIELDS);
  stored[STATUS_FIELDS.shares] = status.shares.map((shard) => ({
    ...toStored(shard, SHARD_FIELDS),
    [SHARD_FIELDS.machines]: shard.machines.map((machine) => toStored(machine, MACHINE_FIELDS)),
    [SHARD_FIELDS.demands]: shard.demands.map((demand) => toStored(demand, DEMAND_FIELDS)),
  }));
  stored[STATUS_FIELDS.strangers] = status.strangers.map((machine) => toStored(machine, UNASSIGNED_MACHINE_FIELDS));
  return stored;
}

/** Has the value the lists that a stored status has? */
function isStoredStatus(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return false;
  const stored = value as Record<string, unknown>;
  const shards = stored[STATUS_FIELDS.shares];
  const lists = [STATUS_FIELDS.running, STATUS_FIELDS.strangers, STATUS_FIELDS.heard, STATUS_FIELDS.plenty].map(
    (name) => stored[name],
  );
  return (
    typeof stored[STATUS_FIELDS.node] === 'string' &&
    [shards, ...lists].every((list) => Array.isArray(list)) &&
    (shards as unknown[]).every(isStoredShard)
  );
}

function isStoredShard(value: unknown): boolean {
  const stored = value as Record<string, unknown> | null | undefined;
  return Array.isArray(stored?.[SHARD_FIELDS.machines]) && Array.isArray(stored[SHARD_FIELDS.demands]);
}

/** The status that another controller stored; null for what is none. */
export function parseStatus(value: unknown): PeerStatus | null {
  if (!isStoredStatus(value)) return null;
  const status = fromStored<PeerStatus>(value, STATUS_FIELDS);
  status.shares = status.shares.map((stored) => {
    const shard = fromStored<PeerShare>(stored, SHARD_FIELDS);
    shard.machines = shard.machines.map((machine) => fromStored<PeerMachine>(machine, MACHINE_FIELDS));
    shard.demands = shard.demands.map((demand) => fromStored<PeerDemand>(demand, DEMAND_FIELDS));
    return shard;
  });
  status.strangers = status.strangers.map((machine) => fromStored<Stranger>(machine, UNASSIGNED_MACHINE_FIELDS));
  return status;
}
