// Random walks through pairs of troubles (docs/meetings.md).
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Walk } from './walk.js';

/** Troubles in pairs and threes, every rule checked after each step; for long by hand: WALKS=500 npm test. */
test('seeded random walks through pairs of troubles break no rule, and leave nothing waiting or forgotten', () => {
  for (let seed = 1; seed <= Number(process.env.WALKS ?? 16); seed++) {
    const walk = new Walk(seed);
    try {
      walk.run(120);
    } catch (e) {
      assert.fail(`seed ${seed}: ${e instanceof Error ? e.message : e}`);
    }
  }
});
