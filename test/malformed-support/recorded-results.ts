/**
 * Compares results with test/recorded/malformed-input.json, which has a section for each test. With `UPDATE_TRACES=1` the results
 * are recorded instead; the test files that share the file must then run one at a time.
 */
import assert from 'node:assert/strict';
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';

const RECORDED = 'test/recorded/malformed-input.json';

/** Results by the title of their input. */
export type Table = Record<string, unknown>;

/** Formats one result per line, so that a diff shows the input whose result has changed. */
function formatTables(tables: Record<string, Table>): string {
  const sections = Object.entries(tables).map(([section, table]) => {
    const rows = Object.entries(table).map(([title, result]) => `  ${JSON.stringify(title)}: ${JSON.stringify(result)}`);
    return ` ${JSON.stringify(section)}: {\n${rows.join(',\n')}\n }`;
  });
  return `{\n${sections.join(',\n')}\n}\n`;
}

function readRecorded(): Record<string, Table> {
  return existsSync(RECORDED) ? JSON.parse(readFileSync(RECORDED, 'utf8')) : {};
}

/** Asserts that the results of a section equal the recorded ones, one by one. */
export function compareWithRecorded(section: string, measured: Table): void {
  if (process.env.UPDATE_TRACES === '1') {
    mkdirSync('test/recorded', { recursive: true });
    writeFileSync(RECORDED, formatTables({ ...readRecorded(), [section]: measured }));
  }
  const recorded = readRecorded()[section];
  assert.ok(recorded, `${RECORDED} has no section ${section}`);
  assert.deepEqual(Object.keys(measured), Object.keys(recorded), 'the same inputs in the same order');
  for (const [title, result] of Object.entries(measured))
    assert.equal(JSON.stringify(result), JSON.stringify(recorded[title]), title);
}
