/** What sets jobs of the highest priority, cancelled jobs and scarce machines apart. */

/** The priority of jobs that come before all others, and before quotas too once they are urgent. */
export const HIGHEST_PRIORITY = 3;

/** Cancelled tasks have to be gone in time: machines that run them are attended to before those with jobs of any priority. */
export const CANCELLED_WORK_PRIORITY = HIGHEST_PRIORITY + 1;

/** Services wait this long for another machine before they take a scarce one with accelerators. */
export const SCARCE_MACHINE_WAIT_S = 8;
