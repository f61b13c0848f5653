// Problems that others cause again and again are reported at a limited rate, and all of them are counted.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RateLimitedReport } from '../packages/server/src/rate-limited-report.js';

test('the first problem is reported at once, and later ones together, at most once in ten seconds', () => {
  let now = 0;
  const reports: [string, number][] = [];
  const report = new RateLimitedReport<string>(
    () => now,
    (problem, count) => reports.push([problem, count]),
  );
  for (now = 0; now <= 25_000; now += 1000) report.record(`at ${now / 1000} s`);
  assert.deepEqual(reports, [
    ['at 0 s', 1],
    ['at 10 s', 10],
    ['at 20 s', 10],
  ]);
});
