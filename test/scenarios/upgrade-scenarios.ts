// Scenarios that several test files start from.
import { type ControllerVersion, job, SimulatedCluster, type SimulatedController } from '../simulation/index.js';
import { PRODUCTION } from '../upgrade/production-version.js';

export const OLD: ControllerVersion = PRODUCTION;

/** A cluster whose controllers all run the version in production. */
export function oldCluster(
  machines = 6,
  tune?: ConstructorParameters<typeof SimulatedCluster>[1],
): { c: SimulatedCluster; present: ControllerVersion } {
  const cluster = new SimulatedCluster(undefined, tune);
  const present = (cluster.controllers[0] as SimulatedController).version;
  for (const node of cluster.controllers) {
    node.version = OLD;
    node.restart();
  }
  for (let index = 0; index < machines; index++) cluster.machine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  return { c: cluster, present };
}

export function upgrade(node: SimulatedController, to: ControllerVersion): void {
  node.version = to;
  node.crash();
  node.restart();
}

export const NAMES = ['n0', 'n1', 'n2'];

/** Work of each kind, of a team of each share. */
export function submitAll(cluster: SimulatedCluster, p: string): string[] {
  const ids = ['red', 'blue', 'green'].flatMap((team) => {
    cluster.submit(job(`run-${p}-${team}-array`, { team, tasks: 6, cpus: 0.5, memory: 1, estimatedRunS: 6 }));
    cluster.submit(
      job(`run-${p}-${team}-gang`, { team, shape: 'gang', tasks: 2, cpus: 0.5, memory: 1, oneZone: true, estimatedRunS: 8 }),
    );
    return [`run-${p}-${team}-array`, `run-${p}-${team}-gang`];
  });
  cluster.submit(
    job(`run-${p}-service`, { shape: 'service', priority: 3, jobClass: 'serve', tasks: 2, cpus: 0.5, memory: 1, spread: true }),
  );
  return ids;
}
