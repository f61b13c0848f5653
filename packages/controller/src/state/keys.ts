/**
 * The keys of the state service: how they are built, and what kind of record each holds. What is stored under a key is
 * described by the `*-record.ts` module of its kind. The key formats are fixed: other versions use the same keys.
 */

/** The name of the leader's lease; it is part of a stored key. */
export const LEADER_LEASE = 'lead';

/** A lease that controllers compete for: the leader's, or that of the shard with this number. */
export type LeaseName = typeof LEADER_LEASE | number;

/** Builds the key of each kind of record. */
export const StateKey = {
  /** all keys of this program begin so */
  root: 'a/',
  shardLease: (lease: LeaseName) => `a/h/${lease}`,
  assignment: (machine: string) => `a/g/${machine}`,
  job: (id: string) => `a/j/${id}`,
  progress: (id: string, part: string) => `a/p/${id}/${part}`,
  /** the whole list of machine types */
  machineTypes: 'a/types',
  /** a part of a list of machine types that is too long for one value */
  machineTypesPart: (index: number) => `a/types/${index}`,
  /** a part of a job's lists: see job-record.ts */
  jobPart: (id: string, group: string, index: number) => `a/x/${id}/${group}/${index}`,
  /** a controller that is present: attached to its lease at the state service */
  presence: (controller: string) => `a/n/${controller}`,
  /** a controller's status, for the leader while the link between them is down */
  status: (controller: string) => `a/s/${controller}`,
  /** the images in a machine's cache, for the next holder of its shard */
  imageCache: (machine: string) => `a/c/${machine}`,
};

/** What a key's record is about; `other`: nothing that the cluster state is made of. */
export type StateKeyKind =
  | 'shardLease'
  | 'presence'
  | 'job'
  | 'jobPart'
  | 'progress'
  | 'assignment'
  | 'imageCache'
  | 'machineTypes'
  | 'machineTypesPart'
  | 'other';

/** A key taken apart. */
export interface ParsedStateKey {
  kind: StateKeyKind;
  /** the key after the prefix of its kind, say a machine's name */
  name: string;
}

const KIND_BY_PREFIX: ReadonlyMap<string, StateKeyKind> = new Map([
  ['h/', 'shardLease'],
  ['n/', 'presence'],
  ['j/', 'job'],
  ['x/', 'jobPart'],
  ['p/', 'progress'],
  ['g/', 'assignment'],
  ['c/', 'imageCache'],
]);

/** Where the prefix of a kind ends; it begins after the root. */
const PREFIX_END = StateKey.root.length + 2;

const MACHINE_TYPES_PART_PREFIX = `${StateKey.machineTypes}/`;

/** Takes a key apart that begins with the root. */
export function parseStateKey(key: string): ParsedStateKey {
  const kind = KIND_BY_PREFIX.get(key.slice(StateKey.root.length, PREFIX_END));
  if (kind !== undefined) return { kind, name: key.slice(PREFIX_END) };
  if (key === StateKey.machineTypes) return { kind: 'machineTypes', name: '' };
  if (key.startsWith(MACHINE_TYPES_PART_PREFIX))
    return { kind: 'machineTypesPart', name: key.slice(MACHINE_TYPES_PART_PREFIX.length) };
  return { kind: 'other', name: key };
}

/** The letter after the root, by which writes are counted in the log: `g` for assignments, `t` for machine types. */
export function keyKindLetter(key: string): string {
  return key.slice(StateKey.root.length, StateKey.root.length + 1);
}
