/** The specification of a job, as its user submitted it. */

/**
 * How the tasks of a job run. `array`: tasks are independent, and each runs to completion. `gang`: all tasks run at the same
 * time, or none runs. `service`: tasks run until the job is cancelled.
 */
export type Shape = 'array' | 'gang' | 'service';

/** A job as its user specified it. Controllers store it under these field names. */
export interface JobSpec {
  id: string;
  /** class of the job; objectives are set per class */
  jobClass: string;
  team: string;
  shape: Shape;
  /** from 0 (best effort) to 3 (critical) */
  priority: number;
  /** number of tasks; their indexes start at 0 */
  tasks: number;
  /** resources that each task requires: CPUs, GPUs and memory */
  cpus: number;
  gpus: number;
  /** in GB */
  memory: number;
  /** image that a machine must have fetched before a task starts on it */
  image: string;
  imageSizeGb: number;
  /** allowed machine types; null: any */
  machineTypes: string[] | null;
  /** the only allowed zone; null: any */
  zone: string | null;
  /** whether all tasks must run in the same zone */
  oneZone: boolean;
  /** whether at most half of the tasks, rounded up, may run in the same zone */
  spread: boolean;
  /** whether tasks may run on spot machines */
  allowsSpot: boolean;
  /** the user's estimate of a task's run time in seconds; 0 for services */
  estimatedRunS: number;
  /** interval of checkpoints in seconds of progress; 0: the tasks save no checkpoints */
  checkpointIntervalS: number;
  /** seconds that a task needs to save a checkpoint when it is stopped */
  checkpointSaveS: number;
  /** seconds from submission until the job should be complete; null: no deadline */
  deadlineS: number | null;
}
