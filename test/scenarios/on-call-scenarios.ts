/** Settings and judgements that tests of failures and of quota share. */

import type { ControllerSettings } from '@archpost/controller';
import type { SimulatedCluster } from '../simulation/index.js';

/** The names of the workers that have no power or were released. */
export const deadWorkers = (cluster: SimulatedCluster) =>
  cluster.workers.filter((worker) => worker.dead).map((worker) => worker.name);

/** Adds the team `guest`, to which nothing is guaranteed. */
export const withTeamWithoutGuarantee = (settings: ControllerSettings): ControllerSettings => ({
  ...settings,
  teams: [...settings.teams, { name: 'guest', cpus: 0, maxCpus: 0, gpus: 0, maxGpus: 0 }],
});
