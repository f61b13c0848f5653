/** What sets work of the highest rank apart. */

/** The rank of work that comes before all other, and before guarantees too once it presses. */
export const HIGHEST_PRIORITY = 3;

/** Cancelled work has to be gone in time: what bears it is attended to before work of any rank. */
export const CANCELLED_WORK_PRIORITY = HIGHEST_PRIORITY + 1;

/** Services wait this long for other room before they take a scarce machine with accelerators. */
export const SCARCE_MACHINE_WAIT_S = 8;
