// The list of known failures (KNOWN-RED.txt) excuses only the tests that it names, and a malformed line fails the run.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { evaluateResults, parseKnownRed, type TestResult } from '../tools/known-red.mjs';

const entry = (name: string) => `${name}; node --test target/test/a.test.mjs, seed 7; two of three runs failed; issue 39`;
const result = (file: string, title: string, outcome: TestResult['outcome']): TestResult => ({ file, title, outcome });
const passing = result('test/b.test.ts', 'another', 'passed');

test('an entry excuses the failure of its test, whatever the number of entries, and a title may contain a semicolon', () => {
  const titles = ['one', 'two; in parts', 'three', 'four'];
  const { entries, errors } = parseKnownRed(`${titles.map((title) => entry(`test/a.test.ts: ${title}`)).join('\n')}\n`);
  assert.deepEqual(errors, []);
  const results = titles.map((title) => result('test/a.test.ts', title, 'failed'));
  assert.equal(evaluateResults(entries, [...results, passing]).isRed, false);
  assert.equal(evaluateResults(entries, [...results, passing, result('test/a.test.ts', 'five', 'failed')]).isRed, true);
});

test('a title that is used in two files is excused only in the file that is named', () => {
  const { entries } = parseKnownRed(entry('test/a.test.ts: same'));
  const named = result('test/a.test.ts', 'same', 'failed');
  assert.equal(evaluateResults(entries, [named, passing]).isRed, false);
  assert.equal(evaluateResults(entries, [named, passing, result('test/b.test.ts', 'same', 'failed')]).isRed, true);
});

test('an entry whose test did not run, or that names no test, fails the run', () => {
  const { entries } = parseKnownRed(entry('test/a.test.ts: one'));
  assert.equal(evaluateResults(entries, [passing]).isRed, true);
  assert.equal(evaluateResults(entries, [passing, result('test/a.test.ts', 'one', 'notRun')]).isRed, true);
  assert.equal(evaluateResults(entries, [passing, result('test/a.test.ts', 'one', 'passed')]).isRed, false);
  assert.equal(evaluateResults([], []).isRed, true, 'a run without tests is red');
});

test('a malformed entry is reported with its line number and problem', () => {
  const good = entry('test/a.test.ts: one');
  for (const [line, problem] of [
    ['one; a command; seen; issue 3', 'does not begin with'],
    ['test/a.test.ts: one; seen; issue 3', '3 of four parts'],
    ['test/a.test.ts: one; a command; ; issue 3', 'empty part'],
    ['test/a.test.ts: one; a command; seen; some day', 'does not end with'],
  ] as const) {
    const { entries, errors } = parseKnownRed(`${good}\n\n${line}\n`);
    assert.equal(entries.length, 1);
    assert.equal(errors.length, 1);
    assert.match(errors[0] ?? '', new RegExp(`^line 3: .*${problem}`));
  }
});
