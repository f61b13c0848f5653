/**
 * The keys of the state service: how they are built, and which kind of record each holds. The `*-record.ts` module of each
 * kind describes the values. The key formats are fixed: other versions use the same keys.
 */

/** The name of the leader lease, which is part of a stored key. */
export const LEADER_LEASE = 'lead';

/** The name of a lease that controllers compete for: the leader lease, or the number of a shard. */
export type LeaseName = typeof LEADER_LEASE | number;

/** Builds the key of each kind of record. */
export const StateKey = {
  /** prefix of all keys of this program */
  root: 'a/',
  shardLease: (lease: LeaseName) => `a/h/${lease}`,
  assignment: (machine: string) => `a/g/${machine}`,
  job: (id: string) => `a/j/${id}`,
  progress: (id: string, part: string) => `a/p/${id}/${part}`,
  /** the complete list of machine types */
  machineTypes: 'a/types',
  /** a part of a list of machine types that is too long for one value */
  machineTypesPart: (index: number) => `a/types/${index}`,
  /** a part of a job's lists: see job-record.ts */
  jobPart: (id: string, group: string, index: number) => `a/x/${id}/${group}/${index}`,
  /** marks a controller as present; attached to the controller's lease on the state service */
  presence: (controller: string) => `a/n/${controller}`,
  /** a controller's status, for the leader while the link between the two is down */
  status: (controller: string) => `a/s/${controller}`,
  /** the images in a machine's cache, for the next lease holder of its shard */
  imageCache: (machine: string) => `a/c/${machine}`,
};

/** The kind of record that a key holds; `other`: not part of the cluster state. */
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

/** The components of a key. */
export interface ParsedStateKey {
  kind: StateKeyKind;
  /** the key without the prefix of its kind, such as a machine's name */
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

/** Index at which the prefix of a kind ends. The prefix follows the root. */
const PREFIX_END = StateKey.root.length + 2;

const MACHINE_TYPES_PART_PREFIX = `${StateKey.machineTypes}/`;

/** Parses a key that begins with the root. */
export function parseStateKey(key: string): ParsedStateKey {
  const kind = KIND_BY_PREFIX.get(key.slice(StateKey.root.length, PREFIX_END));
  if (kind !== undefined) return { kind, name: key.slice(PREFIX_END) };
  if (key === StateKey.machineTypes) return { kind: 'machineTypes', name: '' };
  if (key.startsWith(MACHINE_TYPES_PART_PREFIX))
    return { kind: 'machineTypesPart', name: key.slice(MACHINE_TYPES_PART_PREFIX.length) };
  return { kind: 'other', name: key };
}

/**
 * Returns the letter after the root. The log counts writes by this letter, such as `g` for assignments, `t` for machine types.
 */
export function keyKindLetter(key: string): string {
  return key.slice(StateKey.root.length, StateKey.root.length + 1);
}
