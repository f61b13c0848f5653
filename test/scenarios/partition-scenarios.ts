/** Workers and late heartbeats of tests with partitions. */

import type { Heartbeat } from '@archpost/protocol';
import type { SimulatedCluster, SimulatedController, SimulatedWorker } from '../simulation/index.js';

/** Returns the first worker that runs a task of the job. */
export const workerRunning = (cluster: SimulatedCluster, id: string) =>
  cluster.workers.find((worker) => worker.name === cluster.machinesRunning(id)[0]) as SimulatedWorker;

/**
 * Delivers a copy of a heartbeat to a controller, as if the network had delayed it. Returns the status code of the response;
 * 0 if there is none.
 */
export const deliverHeartbeatCopy = (node: SimulatedController, heartbeat: Heartbeat) => {
  let responseStatus = 0;
  node.receiveHeartbeat(structuredClone(heartbeat), (status) => {
    responseStatus = status;
  });
  return responseStatus;
};
