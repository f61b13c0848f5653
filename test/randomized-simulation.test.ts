// Seeded random simulations through pairs of troubles.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomizedSimulation, type RandomizedSimulationOptions } from './randomized/randomized-simulation.js';
import { PRODUCTION } from './upgrade/production-version.js';

/** Troubles in pairs and threes, every rule checked after each step; for long by hand: WALKS=500 npm test. */
test('seeded random simulations through pairs of faults break no rule, and leave nothing waiting or forgotten', () => {
  for (let seed = 1; seed <= Number(process.env.WALKS ?? 16); seed++) {
    const walk = new RandomizedSimulation(seed);
    try {
      walk.run(120);
    } catch (e) {
      assert.fail(`seed ${seed}: ${e instanceof Error ? e.message : e}`);
    }
  }
});

/** The ratios of the users' larger sites: changes a second, sizes after the fall, processor time, sockets. */
const AT_SIZE: RandomizedSimulationOptions = {
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

/** For longer by hand: SIZE_WALKS=20 npm test. */
test('random simulations at the size and the ratios of production, with chains at full rate, over a roll and without', () => {
  for (let seed = 1; seed <= Number(process.env.SIZE_WALKS ?? 1); seed++) {
    for (const from of [undefined, PRODUCTION]) {
      try {
        new RandomizedSimulation(seed, { ...AT_SIZE, ...(from && { initialVersion: from }) }).run(90);
      } catch (e) {
        assert.fail(`seed ${seed}${from ? ', over a roll' : ''}: ${e instanceof Error ? e.message : e}`);
      }
    }
  }
});
