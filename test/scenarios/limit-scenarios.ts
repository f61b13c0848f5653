/** Clusters whose state service has announced lower limits. */

import type { ControllerSettings } from '@archpost/controller';
import { SimulatedCluster } from '../simulation/index.js';

/** The announced limits. */
export const ANNOUNCED_LIMITS = { valueKib: 2, writesPerTransaction: 4, writesPerS: 45 };

/** Returns the settings with the announced limits as the next ones, and without spare capacity. */
export const withAnnouncedLimits = (settings: ControllerSettings): ControllerSettings => ({
  ...settings,
  state: { ...settings.state, valueKib: 16, next: ANNOUNCED_LIMITS },
  policy: { ...settings.policy, holdSpareCapacity: false },
});

/** Returns a settled cluster of small machines whose controllers know the announced limits. */
export function clusterWithAnnouncedLimits(machines: number): SimulatedCluster {
  const cluster = new SimulatedCluster(undefined, withAnnouncedLimits);
  for (let index = 0; index < machines; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  return cluster;
}
