/** A reporter for node:test: writes one line of JSON for each top-level test, with its source file. */
import { basename } from 'node:path';

/**
 * Returns the source file of a bundled test.
 *
 * @param {string | undefined} bundle
 */
function sourceOf(bundle) {
  return `test/${basename(bundle ?? 'unknown').replace(/\.mjs$/, '.ts')}`;
}

/**
 * Returns the outcome of a test. A skipped test or a todo has not run.
 *
 * @param {'test:pass' | 'test:fail'} type
 * @param {{ skip?: string | boolean, todo?: string | boolean }} data
 */
function outcomeOf(type, { skip, todo }) {
  if (skip !== undefined || todo !== undefined) return 'notRun';
  return type === 'test:pass' ? 'passed' : 'failed';
}

/** @param {AsyncIterable<import('node:test/reporters').TestEvent>} events */
export default async function* reportResults(events) {
  for await (const event of events) {
    if ((event.type !== 'test:pass' && event.type !== 'test:fail') || event.data.nesting > 0) continue;
    const { file, name } = event.data;
    yield `${JSON.stringify({ file: sourceOf(file), title: name, outcome: outcomeOf(event.type, event.data) })}\n`;
  }
}
