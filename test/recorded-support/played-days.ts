/** All simulated days, run once in each test file that imports them. */
import { play } from './day-recording.js';
import { DAYS } from './simulated-days.js';

/** The recordings of the days, by name. */
export const daysByName = Object.fromEntries(Object.entries(DAYS).map(([name, day]) => [name, play(day)]));

/** The recordings of the days. */
export const days = Object.values(daysByName);
