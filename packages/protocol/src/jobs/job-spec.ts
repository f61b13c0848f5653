/** The specification of a job, as its user submitted it. */

/**
 * How the tasks of a job belong together. Array: independent tasks, each runs to completion. Gang: all tasks run at
 * the same time or none does. Service: tasks run until the job is cancelled.
 */
export type Shape = 'array' | 'gang' | 'service';

/** A job as its user described it. Controllers store it under these field names. */
export interface JobSpec {
  id: string;
  /** class of jobs, by which objectives are set */
  jobClass: string;
  team: string;
  shape: Shape;
  /** priority: 0 (best effort) to 3 (critical) */
  priority: number;
  /** number of tasks, which are numbered from 0 */
  tasks: number;
  /** what each task takes of its machine */
  cpus: number;
  gpus: number;
  /** in GB */
  memory: number;
  /** the image that a machine must have before a task starts */
  image: string;
  imageSizeGb: number;
  /** allowed machine types; null: any */
  machineTypes: string[] | null;
  /** the only allowed zone; null: any */
  zone: string | null;
  /** all tasks must be in the same zone */
  oneZone: boolean;
  /** at most half of the tasks, rounded up, may be in one zone */
  spread: boolean;
  /** spot machines are allowed */
  allowsSpot: boolean;
  /** the user's estimate of a task's run time in seconds; 0 for services */
  estimatedRunS: number;
  /** interval of checkpoints in seconds of progress; 0: the task never saves */
  checkpointIntervalS: number;
  /** seconds that a task needs to save when it is stopped */
  checkpointSaveS: number;
  /** seconds from submission until the job should be complete; null: no deadline */
  deadlineS: number | null;
}
