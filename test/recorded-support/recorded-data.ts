/** Comparison with the files in test/recorded. `UPDATE_TRACES=1` writes them anew: a difference there is a change of format. */

import assert from 'node:assert/strict';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import type { Row } from './controller-reader.js';

/** JSON with a line for each value below the given depth, so that a reader sees one row or change a line. */
function formatted(value: unknown, depth: number, indent = ''): string {
  const isOpen = depth > 0 && typeof value === 'object' && value !== null && Object.keys(value).length > 0;
  if (!isOpen) return JSON.stringify(value);
  const inner = `${indent} `;
  const line = (item: unknown) => formatted(item, depth - 1, inner);
  if (Array.isArray(value)) return `[\n${value.map((item) => inner + line(item)).join(',\n')}\n${indent}]`;
  const fields = Object.entries(value as object).map(([name, item]) => `${inner}${JSON.stringify(name)}: ${line(item)}`);
  return `{\n${fields.join(',\n')}\n${indent}}`;
}

/** Compares the value with the recorded one of this name; objects above the depth have a line for each field. */
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
