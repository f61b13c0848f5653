/** Loads stored rows into a controller and summarizes its state. Only this file of these tests uses a controller's own names. */
import { Controller, type ControllerSettings } from '@archpost/controller';
import type { StoredKey } from '@archpost/protocol';
import { settings } from '../simulation/index.js';

/** Changes the settings of a controller. */
export type Tune = (settings: ControllerSettings) => ControllerSettings;

/** A recorded row of the state service. */
export interface Row {
  key: string;
  value: unknown;
  stamp: number;
}

/** A controller that has loaded no rows. */
export function newController(tune: Tune = (settings) => settings): Controller {
  return new Controller(tune(settings('n0')), 'present');
}

/** Loads the rows into the controller as a snapshot of the state service. */
export function loadRows(controller: Controller, rows: Row[]): void {
  const keys = rows.map(({ key, value, stamp: revision }): StoredKey => ({ key, value, revision }));
  controller.receiveSnapshot(keys, Math.max(...rows.map((row) => row.stamp)), 0);
}

/** The keys for which warnings were logged since the last call, in the order of the warnings. */
export function warnedKeys(controller: Controller): string[] {
  const warnings = controller
    .takeEffects()
    .flatMap((effect) => (effect.type === 'log' && effect.level === 'warn' ? [effect] : []));
  return warnings.map((warning) => String(warning.fields?.key));
}

/** Summarizes what a controller has read from the rows. The names in the summary are independent of the controller's names. */
export function summarizeClusterState(controller: Controller): Record<string, unknown> {
  const { clusterState } = controller;
  const jobs = [...clusterState.jobs.values()].map((job) => [
    job.spec.id,
    { state: job.state, done: job.doneCount, mayNotStart: job.isBlocked, types: job.typeIndices?.length ?? null },
  ]);
  const machines = [...clusterState.machines.values()].map((machine) => [
    machine.name,
    {
      share: machine.shard,
      address: machine.address,
      spot: machine.spot,
      moveTo: machine.moveToShard ?? -1,
      retire: machine.isRetired,
      images: machine.images.size,
    },
  ]);
  const holders = [...clusterState.leasesByName].map(([name, { holder, revision }]) => [
    name,
    `${holder.controller} ${holder.incarnation} ${revision}`,
  ]);
  return {
    jobs: Object.fromEntries(jobs),
    ended: Object.fromEntries(clusterState.finishedJobs),
    machines: Object.fromEntries(machines),
    holders: Object.fromEntries(holders),
    machineTypes: clusterState.areMachineTypesKnown ? clusterState.machineTypes.filter((type) => type).length : null,
    heardOf: [...controller.peers.keys()],
  };
}
