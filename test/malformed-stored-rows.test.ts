// Stored values that can't be read are skipped as recorded, and the other rows are read.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { loadRows, newController, summarizeClusterState, warnedKeys } from './recorded-support/controller-reader.js';
import { GOOD_ROWS, MALFORMED, WRONG_TYPE_VALUES } from './recorded-support/malformed-rows.js';
import { assertAsRecorded } from './recorded-support/recorded-data.js';

interface Outcome {
  value: string;
  warnedOf: string[];
  /** the parts of the cluster state that differ from those after loading only the good rows */
  known: Record<string, unknown>;
}

const GOOD_ALONE = (() => {
  const controller = newController();
  loadRows(controller, GOOD_ROWS);
  return summarizeClusterState(controller);
})();

function differences(known: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(known).filter(([name, value]) => JSON.stringify(value) !== JSON.stringify(GOOD_ALONE[name])),
  );
}

/** Loads a malformed value before the good rows or after them, and returns the result. */
function outcomeOf(key: string, value: unknown, isFirst: boolean): Outcome {
  const controller = newController();
  const row = { key, value, stamp: isFirst ? 1 : 9 };
  loadRows(controller, isFirst ? [row, ...GOOD_ROWS] : [...GOOD_ROWS, row]);
  const text = JSON.stringify(value);
  const outcome = {
    value: text.length > 600 ? `${text.slice(0, 60)}... (${text.length} characters)` : text,
    warnedOf: warnedKeys(controller),
    known: differences(summarizeClusterState(controller)),
  };
  const { jobs, machines } = summarizeClusterState(controller) as {
    jobs: Record<string, unknown>;
    machines: Record<string, unknown>;
  };
  assert.ok('run-good' in jobs && 'run-parts' in jobs, `jobs beside ${key} ${text}`);
  // The row under `a/c/` holds the images of the machine `good` itself, so it isn't an unrelated row here.
  if (key !== 'a/c/good') assert.ok('good' in machines, `the machine beside ${key} ${text}`);
  return outcome;
}

for (const [order, isFirst] of [
  ['before', true],
  ['after', false],
] as const) {
  test(`malformed values ${order} good rows: as many warnings as recorded for their keys, and the good rows are read`, () => {
    const outcomes = Object.entries(MALFORMED).map(([key, values]): [string, Outcome[]] => [
      key,
      [...WRONG_TYPE_VALUES, ...values].map((value) => outcomeOf(key, value, isFirst)),
    ]);
    assertAsRecorded(`malformed-${order}-good-rows`, Object.fromEntries(outcomes), 2);
  });
}
