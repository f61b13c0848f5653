/** All simulated days, run once in each test file that imports them. */
import { recordDay } from './day-recording.js';
import { DAYS } from './simulated-days.js';

/** The recordings of the days, by name. */
export const daysByName = Object.fromEntries(Object.entries(DAYS).map(([name, day]) => [name, recordDay(day)]));

/** The recordings of the days. */
export const days = Object.values(daysByName);
