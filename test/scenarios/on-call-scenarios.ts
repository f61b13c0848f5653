// Scenarios that several test files start from.

import type { ControllerSettings } from '@archpost/controller';
import type { SimulatedCluster } from '../simulation/index.js';

export const dead = (cluster: SimulatedCluster) => cluster.workers.filter((worker) => worker.dead).map((worker) => worker.name);

export const withGuest = (settings: ControllerSettings): ControllerSettings => ({
  ...settings,
  teams: [...settings.teams, { name: 'guest', cpus: 0, maxCpus: 0, gpus: 0, maxGpus: 0 }],
});
