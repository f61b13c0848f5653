/** All simulated days, played once in each test file that needs them all. */
import { play } from './day-recording.js';
import { DAYS } from './simulated-days.js';

/** The played days, by name. */
export const played = Object.fromEntries(Object.entries(DAYS).map(([name, day]) => [name, play(day)]));

/** The played days. */
export const days = Object.values(played);
