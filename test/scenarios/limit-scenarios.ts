// Scenarios that several test files start from.

import type { ControllerSettings } from '@archpost/controller';
import { SimulatedCluster } from '../simulation/index.js';

export const NEXT = { valueKib: 2, writesPerTransaction: 4, writesPerS: 45 };

export const announced = (settings: ControllerSettings): ControllerSettings => ({
  ...settings,
  state: { ...settings.state, valueKib: 16, next: NEXT },
  policy: { ...settings.policy, holdSpareCapacity: false },
});

export function clusterWithAnnouncedLimits(machines: number): SimulatedCluster {
  const cluster = new SimulatedCluster(undefined, announced);
  for (let index = 0; index < machines; index++) cluster.machine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  return cluster;
}
