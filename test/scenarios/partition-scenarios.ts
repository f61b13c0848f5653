// Scenarios that several test files start from.

import type { Heartbeat } from '@archpost/protocol';
import { type SimulatedCluster, type SimulatedController, type SimulatedWorker, smallCluster } from '../simulation/index.js';

export const clusterOfEight = (machines = 8) => smallCluster(machines);

export const machineOf = (cluster: SimulatedCluster, id: string) =>
  cluster.workers.find((worker) => worker.name === cluster.machinesRunning(id)[0]) as SimulatedWorker;

/** Hands a copy of a report to a controller, as a network that held it back would. */
export const deliverLate = (node: SimulatedController, heartbeat: Heartbeat) => {
  let said = 0;
  node.receiveHeartbeat(structuredClone(heartbeat), (status) => {
    said = status;
  });
  return said;
};
