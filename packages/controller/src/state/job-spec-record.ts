/**
 * The stored form of a job specification, the field `sp` of a job's record. Stored field names are fixed: other versions read
 * and write the same records.
 *
 * Both directions are object literals rather than a loop over a table of names: V8 turns an object with this many fields that
 * are added one by one into a hash table, and each decision about a job reads its spec (docs/results.md, "Readable code").
 */
import type { JobSpec } from '@archpost/protocol';

/** A job specification with its fields under their stored names, in their stored order. */
interface StoredJobSpec {
  id: JobSpec['id'];
  cls: JobSpec['jobClass'];
  team: JobSpec['team'];
  shape: JobSpec['shape'];
  rank: JobSpec['priority'];
  tasks: JobSpec['tasks'];
  cpus: JobSpec['cpus'];
  gpus: JobSpec['gpus'];
  memory: JobSpec['memory'];
  image: JobSpec['image'];
  imageGb: JobSpec['imageSizeGb'];
  types: JobSpec['machineTypes'];
  zone: JobSpec['zone'];
  oneZone: JobSpec['oneZone'];
  spread: JobSpec['spread'];
  spot: JobSpec['allowsSpot'];
  estimateS: JobSpec['estimatedRunS'];
  checkpointS: JobSpec['checkpointIntervalS'];
  saveS: JobSpec['checkpointSaveS'];
  deadlineS: JobSpec['deadlineS'];
}

/** Whether the value is the stored form of a job specification. Only its id is validated. */
export function isStoredJobSpec(value: unknown): value is object {
  return typeof value === 'object' && value !== null && 'id' in value && typeof value.id === 'string';
}

/** Returns the stored form of a job specification. */
export function encodeJobSpec(spec: JobSpec): object {
  const stored: StoredJobSpec = {
    id: spec.id,
    cls: spec.jobClass,
    team: spec.team,
    shape: spec.shape,
    rank: spec.priority,
    tasks: spec.tasks,
    cpus: spec.cpus,
    gpus: spec.gpus,
    memory: spec.memory,
    image: spec.image,
    imageGb: spec.imageSizeGb,
    types: spec.machineTypes,
    zone: spec.zone,
    oneZone: spec.oneZone,
    spread: spec.spread,
    spot: spec.allowsSpot,
    estimateS: spec.estimatedRunS,
    checkpointS: spec.checkpointIntervalS,
    saveS: spec.checkpointSaveS,
    deadlineS: spec.deadlineS,
  };
  return stored;
}

/** Decodes a stored form that has an id. Fields that it lacks are undefined in the result, as in earlier versions. */
export function parseJobSpec(value: object): JobSpec {
  const stored = value as StoredJobSpec;
  return {
    id: stored.id,
    jobClass: stored.cls,
    team: stored.team,
    shape: stored.shape,
    priority: stored.rank,
    tasks: stored.tasks,
    cpus: stored.cpus,
    gpus: stored.gpus,
    memory: stored.memory,
    image: stored.image,
    imageSizeGb: stored.imageGb,
    machineTypes: stored.types,
    zone: stored.zone,
    oneZone: stored.oneZone,
    spread: stored.spread,
    allowsSpot: stored.spot,
    estimatedRunS: stored.estimateS,
    checkpointIntervalS: stored.checkpointS,
    checkpointSaveS: stored.saveS,
    deadlineS: stored.deadlineS,
  };
}

/** Returns the stored form with all machine types allowed, for a job that starts no more tasks. */
export function withoutMachineTypes(stored: object): object {
  const anyType: Pick<StoredJobSpec, 'types'> = { types: null };
  return { ...stored, ...anyType };
}
