/** Comparison with the files in test/recorded. `UPDATE_TRACES=1` rewrites them; a difference is a change of a format. */

import assert from 'node:assert/strict';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import type { Row } from './controller-reader.js';

/** JSON with one line for each value at the given depth, so that a diff shows one row or change per line. */
function formatted(value: unknown, depth: number, indent = ''): string {
  const isOpen = depth > 0 && typeof value === 'object' && value !== null && Object.keys(value).length > 0;
  if (!isOpen) return JSON.stringify(value);
  const inner = `${indent} `;
  const line = (item: unknown) => formatted(item, depth - 1, inner);
  if (Array.isArray(value)) return `[\n${value.map((item) => inner + line(item)).join(',\n')}\n${indent}]`;
  const fields = Object.entries(value as object).map(([name, item]) => `${inner}${JSON.stringify(name)}: ${line(item)}`);
  return `{\n${fields.join(',\n')}\n${indent}}`;
}

/** Asserts that the value equals the recorded one. Objects above the depth have a line for each field in the file. */
export function assertAsRecorded(name: string, value: unknown, depth: number): void {
  const path = `test/recorded/${name}.json`;
  const text = `${formatted(value, depth)}\n`;
  if (process.env.UPDATE_TRACES === '1') {
    mkdirSync('test/recorded', { recursive: true });
    writeFileSync(path, text);
  }
  assert.equal(text, readFileSync(path, 'utf8'), `differs from ${path}`);
}

function readRecorded<T>(path: string): T {
  return JSON.parse(readFileSync(path, 'utf8')) as T;
}

/** Rows and messages that the version in production stored and sent. */
export const production = readRecorded<{ rows: Row[]; messages: string[] }>('test/upgrade/recorded.json');
