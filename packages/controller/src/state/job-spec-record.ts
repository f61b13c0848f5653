/**
 * The stored form of a job as its user described it, the field `sp` of a job's record. Stored field names are fixed: other
 * versions read and write the same records. The table gives, for each field of the model, the name under which it is stored;
 * its order is the order of the stored fields.
 */
import type { JobSpec } from '@archpost/protocol';
import { type FieldTable, fromStoredFields, toStoredFields } from './field-table.js';

const JOB_SPEC_FIELDS: FieldTable<JobSpec> = {
  id: 'id',
  jobClass: 'cls',
  team: 'team',
  shape: 'shape',
  priority: 'rank',
  tasks: 'tasks',
  cpus: 'cpus',
  gpus: 'gpus',
  memory: 'memory',
  image: 'image',
  imageSizeGb: 'imageGb',
  machineTypes: 'types',
  zone: 'zone',
  oneZone: 'oneZone',
  spread: 'spread',
  allowsSpot: 'spot',
  estimatedRunS: 'estimateS',
  checkpointIntervalS: 'checkpointS',
  checkpointSaveS: 'saveS',
  deadlineS: 'deadlineS',
};

/** Is the value the stored form of a job, as far as its id shows? */
export function isStoredJobSpec(value: unknown): value is object {
  return typeof value === 'object' && value !== null && 'id' in value && typeof value.id === 'string';
}

/** The stored form of a job. */
export function encodeJobSpec(spec: JobSpec): object {
  return toStoredFields(spec, JOB_SPEC_FIELDS);
}

/** The job of a stored form that has an id. Fields that the form lacks are missing in the job too, as they always were. */
export function parseJobSpec(stored: object): JobSpec {
  return fromStoredFields(stored, JOB_SPEC_FIELDS);
}

/** The same stored form with any machine type allowed, for a job that starts nothing any more. */
export function withoutMachineTypes(stored: object): object {
  return { ...stored, [JOB_SPEC_FIELDS.machineTypes]: null };
}
