/** The keys of the state service. What is stored under each is described by the `*-record.ts` module of its kind. */
export const StateKey = {
  root: 'a/',
  shardLease: (shard: number | 'lead') => `a/h/${shard}`,
  assignment: (machine: string) => `a/g/${machine}`,
  job: (id: string) => `a/j/${id}`,
  progress: (id: string, part: string) => `a/p/${id}/${part}`,
  machineTypes: 'a/types',
  /** a list of machine types that is too long for one value */
  machineTypesPart: (index: number) => `a/types/${index}`,
  /** a part of a job's lists: see job-record.ts */
  jobPart: (id: string, group: string, index: number) => `a/x/${id}/${group}/${index}`,
  /** a controller that is there: attached to its state lease */
  presence: (controller: string) => `a/n/${controller}`,
  /** what a controller tells by way of the state service while its link to the lead is down */
  status: (controller: string) => `a/s/${controller}`,
  /** the images that a machine surely has, for whoever owns it next */
  imageCache: (machine: string) => `a/c/${machine}`,
};
