/** A controller that loads stored rows, and what it has made of them. The only places of these tests that touch a controller's own names. */
import { Controller, type ControllerSettings } from '@archpost/controller';
import type { StoredKey } from '@archpost/protocol';
import { settings } from '../simulation/index.js';

/** Changes the settings of a controller. */
export type Tune = (settings: ControllerSettings) => ControllerSettings;

/** A stored key as it is recorded. */
export interface Row {
  key: string;
  value: unknown;
  stamp: number;
}

/** A controller that has loaded nothing. */
export function newController(tune: Tune = (settings) => settings): Controller {
  return new Controller(tune(settings('n0')), 'present');
}

/** Hands the rows to the controller as a snapshot of the state service. */
export function loadRows(controller: Controller, rows: Row[]): void {
  const keys = rows.map(({ key, value, stamp: revision }): StoredKey => ({ key, value, revision }));
  controller.receiveSnapshot(keys, Math.max(...rows.map((row) => row.stamp)), 0);
}

/** The keys that warnings were logged for since the last call, in their order. */
export function warnedKeys(controller: Controller): string[] {
  const warnings = controller
    .takeEffects()
    .flatMap((effect) => (effect.type === 'log' && effect.level === 'warn' ? [effect] : []));
  return warnings.map((warning) => String(warning.fields?.key));
}

/** What a controller has made of the rows, under names of this file. */
export function whatIsKnown(controller: Controller): Record<string, unknown> {
  const { clusterState } = controller;
  const jobs = [...clusterState.jobs.values()].map((known) => [
    known.spec.id,
    { state: known.state, done: known.doneCount, mayNotStart: known.isBlocked, types: known.typeIndices?.length ?? null },
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
