/** Helpers shared by tests of failures and of quota. */

import type { ControllerSettings } from '@archpost/controller';
import type { SimulatedCluster } from '../simulation/index.js';

/** Returns the names of the workers that lost power or were released. */
export const deadWorkers = (cluster: SimulatedCluster) =>
  cluster.workers.filter((worker) => worker.dead).map((worker) => worker.name);

/** Returns the settings with an additional team `guest`, which has no guaranteed resources. */
export const withTeamWithoutGuarantee = (settings: ControllerSettings): ControllerSettings => ({
  ...settings,
  teams: [...settings.teams, { name: 'guest', cpus: 0, maxCpus: 0, gpus: 0, maxGpus: 0 }],
});
