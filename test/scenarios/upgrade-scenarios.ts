/** Clusters that run the production version, and the upgrade of their controllers. */
import { type ControllerVersion, job, SimulatedCluster, type SimulatedController } from '../simulation/index.js';
import { PRODUCTION } from '../upgrade/production-version.js';

/** The production version of the controller. */
export const PRODUCTION_VERSION: ControllerVersion = PRODUCTION;

/** Returns a settled cluster whose controllers run the production version, and the current version (`currentVersion`). */
export function productionCluster(
  machines = 6,
  tune?: ConstructorParameters<typeof SimulatedCluster>[1],
): { cluster: SimulatedCluster; currentVersion: ControllerVersion } {
  const cluster = new SimulatedCluster(undefined, tune);
  const currentVersion = (cluster.controllers[0] as SimulatedController).version;
  for (const node of cluster.controllers) {
    node.version = PRODUCTION_VERSION;
    node.restart();
  }
  for (let index = 0; index < machines; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  return { cluster, currentVersion };
}

/** Crashes the controller and restarts it with the other version. */
export function upgrade(node: SimulatedController, to: ControllerVersion): void {
  node.version = to;
  node.crash();
  node.restart();
}

/** Default controller names of a cluster. */
export const CONTROLLER_NAMES = ['n0', 'n1', 'n2'];

/** Submits an array and a gang for a team of each shard, and one service. Returns the ids of the arrays and gangs. */
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
