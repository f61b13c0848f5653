/** Constants for jobs of the highest priority, cancelled jobs and scarce machines. */

/** The priority of jobs that are scheduled before all others. Once overdue, they may preempt work within a quota too. */
export const HIGHEST_PRIORITY = 3;

/** Above every job priority: cancelled tasks must end in time, so machines that run them are probed and commanded first. */
export const CANCELLED_WORK_PRIORITY = HIGHEST_PRIORITY + 1;

/** Services wait this long for another machine before they are placed on a scarce machine with accelerators. */
export const SCARCE_MACHINE_WAIT_S = 8;
