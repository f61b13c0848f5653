/** Runs the bundled tests and ignores failures of those that KNOWN-RED.txt names (known-red.mjs). Any other failure fails the run. */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, rmSync } from 'node:fs';
import { evaluateResults, parseKnownRed } from './known-red.mjs';

const KNOWN_RED = 'KNOWN-RED.txt';
const RESULTS = 'target/test-results.jsonl';

const { entries, errors } = parseKnownRed(existsSync(KNOWN_RED) ? readFileSync(KNOWN_RED, 'utf8') : '');
if (errors.length > 0) {
  for (const error of errors) console.error(`${KNOWN_RED}: ${error}`);
  process.exit(1);
}

rmSync(RESULTS, { force: true });
const reporters = [
  '--test-reporter=tap',
  '--test-reporter-destination=stdout',
  '--test-reporter=./tools/result-reporter.mjs',
  `--test-reporter-destination=${RESULTS}`,
];
const { status } = spawnSync(process.execPath, ['--test', ...reporters, 'target/test/'], {
  stdio: ['ignore', 'inherit', 'inherit'],
});

/** @returns {import('./known-red.mjs').TestResult[]} */
function readResults() {
  if (!existsSync(RESULTS)) return [];
  const lines = readFileSync(RESULTS, 'utf8').split('\n');
  return lines.filter((line) => line !== '').map((line) => JSON.parse(line));
}

const results = readResults();
const verdict = evaluateResults(entries, results);
for (const line of verdict.lines) console.log(line);
// The runner can fail although no test fails.
const isRunnerFault = status !== 0 && !results.some(({ outcome }) => outcome === 'failed');
process.exit(verdict.isRed || isRunnerFault ? 1 : 0);
