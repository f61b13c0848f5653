/** What sets work of the highest rank apart. */

/** The rank of work that comes before all other, and before guarantees too once it presses. */
export const TOP_RANK = 3;

/** Cancelled work has to be gone in time: what bears it is attended to before work of any rank. */
export const ABOVE_ALL_RANKS = TOP_RANK + 1;

/** Services wait this long for other room before they take a scarce machine with accelerators. */
export const SCARCE_AFTER_S = 8;
