/** Clusters of the version in production, and how their controllers are upgraded. */
import { type ControllerVersion, job, SimulatedCluster, type SimulatedController } from '../simulation/index.js';
import { PRODUCTION } from '../upgrade/production-version.js';

/** The version in production. */
export const PRODUCTION_VERSION: ControllerVersion = PRODUCTION;

/** A cluster whose controllers all run the version in production. */
export function productionCluster(
  machines = 6,
  tune?: ConstructorParameters<typeof SimulatedCluster>[1],
): { cluster: SimulatedCluster; present: ControllerVersion } {
  const cluster = new SimulatedCluster(undefined, tune);
  const present = (cluster.controllers[0] as SimulatedController).version;
  for (const node of cluster.controllers) {
    node.version = PRODUCTION_VERSION;
    node.restart();
  }
  for (let index = 0; index < machines; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  return { cluster, present };
}

/** Restarts the controller with another version. */
export function upgrade(node: SimulatedController, to: ControllerVersion): void {
  node.version = to;
  node.crash();
  node.restart();
}

/** The controllers of a cluster, unless a test names others. */
export const CONTROLLER_NAMES = ['n0', 'n1', 'n2'];

/** Submits a job of each kind, of a team of each shard. Returns the ids of the jobs that end. */
export function submitJobOfEachKind(cluster: SimulatedCluster, prefix: string): string[] {
  const ids = ['red', 'blue', 'green'].flatMap((team) => {
    cluster.submit(job(`run-${prefix}-${team}-array`, { team, tasks: 6, cpus: 0.5, memory: 1, estimatedRunS: 6 }));
    cluster.submit(
      job(`run-${prefix}-${team}-gang`, { team, shape: 'gang', tasks: 2, cpus: 0.5, memory: 1, oneZone: true, estimatedRunS: 8 }),
    );
    return [`run-${prefix}-${team}-array`, `run-${prefix}-${team}-gang`];
  });
  cluster.submit(
    job(`run-${prefix}-service`, {
      shape: 'service',
      priority: 3,
      jobClass: 'serve',
      tasks: 2,
      cpus: 0.5,
      memory: 1,
      spread: true,
    }),
  );
  return ids;
}
