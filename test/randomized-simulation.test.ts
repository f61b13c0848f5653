// Seeded random simulations with pairs of faults.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Fault } from './randomized/faults.js';
import { RandomizedSimulation, type RandomizedSimulationOptions } from './randomized/randomized-simulation.js';
import { PRODUCTION } from './upgrade/production-version.js';

/** Two or three faults at a time, every rule checked after each step. For longer, by hand: WALKS=500 npm test. */
test('seeded random simulations with pairs of faults break no rule, and no job is left waiting or lost', () => {
  for (let seed = 1; seed <= Number(process.env.WALKS ?? 16); seed++) {
    const simulation = new RandomizedSimulation(seed);
    try {
      simulation.run(120);
    } catch (e) {
      assert.fail(`seed ${seed}: ${e instanceof Error ? e.message : e}`);
    }
  }
});

/** The ratios of the users' larger sites: changes per second, lowered size limits, processor time, sockets. */
const PRODUCTION_RATIOS: RandomizedSimulationOptions = {
  pipelines: true,
  machines: { small: 240, big: 24 },
  nextLimits: { valueKib: 2, writesPerTransaction: 4, writesPerS: 15 },
  inputsPerTick: 60,
  state: { changesKept: 500, pages: 3 },
  load: { chainsPerS: 1, singlesPerS: 4, cancelledShare: 0.5 },
  tune: (settings) => ({
    ...settings,
    cpuShare: 0.136,
    maxSockets: 1200,
    state: { ...settings.state, requestsPerS: 100, writesPerS: 20, valueKib: 16, writesPerTransaction: 12 },
    teams: settings.teams.map((team) => ({ ...team, gpus: 60, maxGpus: 120 })),
  }),
};

/** For longer, by hand: SIZE_WALKS=20 npm test. */
test('random simulations with the ratios of production and job chains at full rate break no rule, with an upgrade and without', () => {
  for (let seed = 1; seed <= Number(process.env.SIZE_WALKS ?? 1); seed++) {
    for (const version of [undefined, PRODUCTION]) {
      try {
        new RandomizedSimulation(seed, { ...PRODUCTION_RATIOS, ...(version && { initialVersion: version }) }).run(90);
      } catch (e) {
        assert.fail(`seed ${seed}${version ? ', with an upgrade' : ''}: ${e instanceof Error ? e.message : e}`);
      }
    }
  }
});

/** For longer, by hand: REPEAT_WALKS=200 npm test. */
test('random simulations in which executed commands arrive again start no task by them, with an upgrade and without', () => {
  for (let seed = 1; seed <= Number(process.env.REPEAT_WALKS ?? 8); seed++) {
    for (const version of [undefined, PRODUCTION]) {
      try {
        new RandomizedSimulation(seed, { repeatsCommands: true, ...(version && { initialVersion: version }) }).run(120);
      } catch (e) {
        assert.fail(`seed ${seed}${version ? ', with an upgrade' : ''}: ${e instanceof Error ? e.message : e}`);
      }
    }
  }
});

/** Faults that make machines restart, leases expire, shards change hands and heartbeats arrive late. */
const RESTART_FAULTS: readonly Fault[] = [
  'machines reboot',
  'late heartbeats',
  'heartbeats lost',
  'controller messages lost',
  'crash',
  'quick restart',
  'peers partitioned',
  'machine hangs',
  'cloud down',
  'outage',
];

/** Seeds with which late heartbeats of earlier incarnations made a task run twice. */
const RESTART_SEEDS = [127, 217, 293];

/** Guards against tasks that start elsewhere by late heartbeats (review/5). For longer, by hand: RESTART_WALKS=400 npm test. */
test('random simulations in which machines restart and heartbeats arrive late break no rule', () => {
  const walks = Number(process.env.RESTART_WALKS ?? 5);
  const seeds = Array.from({ length: walks }, (_, index) => index + 1);
  for (const seed of [...RESTART_SEEDS, ...seeds]) {
    for (const hasSlowResponses of [false, true]) {
      try {
        new RandomizedSimulation(seed, { faultKinds: RESTART_FAULTS, hasSlowResponses }).run(120);
      } catch (e) {
        assert.fail(`seed ${seed}${hasSlowResponses ? ', slow responses' : ''}: ${e instanceof Error ? e.message : e}`);
      }
    }
  }
});
