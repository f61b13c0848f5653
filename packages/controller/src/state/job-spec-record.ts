/**
 * The stored form of a job as its user described it, the field `sp` of a job's record. Stored field names are fixed: other
 * versions read and write the same records.
 *
 * Both directions are object literals rather than a loop over a table of names: V8 keeps an object with so many fields that
 * was built one by one as a hash table, and each decision about a job reads its spec (docs/results.md, "Readable code").
 */
import type { JobSpec } from '@archpost/protocol';

/** A job with its fields under their stored names, in their stored order. */
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

/** Is the value the stored form of a job, as far as its id shows? */
export function isStoredJobSpec(value: unknown): value is object {
  return typeof value === 'object' && value !== null && 'id' in value && typeof value.id === 'string';
}

/** The stored form of a job. */
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

/** The job of a stored form that has an id. Fields that the form lacks are undefined in the job too, as they always were. */
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

/** The same stored form with any machine type allowed, for a job that starts nothing any more. */
export function withoutMachineTypes(stored: object): object {
  const anyType: Pick<StoredJobSpec, 'types'> = { types: null };
  return { ...stored, ...anyType };
}
