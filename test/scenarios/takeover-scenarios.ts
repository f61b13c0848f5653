// Scenarios that several test files start from.
import { smallCluster } from '../simulation/index.js';

export const newCluster = (machines = 6) => smallCluster(machines);
