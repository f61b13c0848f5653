// Malformed settings files are refused with the line that operators see, and the exit code,
// as recorded in test/recorded/malformed-input.json.

import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { stringify } from 'smol-toml';
import { OMITTED, type Path, pathsIn, VALUES, withField, withValue } from './malformed-support/malformed-values.js';
import { compareWithRecorded, type Table } from './malformed-support/recorded-results.js';
import {
  refusalOf,
  SETTINGS,
  settingsRefusal,
  testDirectory,
  VALID_SETTINGS,
  withoutDirectory,
  writeTestFile,
} from './malformed-support/settings-files.js';

const TOML_VALUES: [string, unknown][] = [
  ['omitted', OMITTED],
  ['an empty text', ''],
  ['a text', 'text'],
  ['0', 0],
  ['-1', -1],
  ['1.5', 1.5],
  ['1e300', 1e300],
  ['not a number', Number.NaN],
  ['infinite', Number.POSITIVE_INFINITY],
  ['true', true],
  ['an empty list', []],
  ['a list of a number', [7]],
  ['an empty table', {}],
];

test('settings: each table and field that is missing or wrong is refused with the recorded line', () => {
  const table: Table = { 'good settings': refusalOf(VALID_SETTINGS) };
  for (const path of pathsIn(SETTINGS))
    for (const [title, value] of TOML_VALUES)
      table[`${path.join('.')}: ${title}`] = refusalOf(stringify(withValue(SETTINGS, path, value)));
  compareWithRecorded('settings', table);
});

const IMPOSSIBLE: [string, Path, unknown][] = [
  ['cancel_s that leaves nothing', ['params', 'workers', 'cancel_s'], 16.5],
  ['cancel_s that leaves just enough', ['params', 'workers', 'cancel_s'], 17],
  ['lease_s beyond cancel_s', ['params', 'workers', 'lease_s'], 60],
  ['write_rps below the number of controllers', ['params', 'state', 'write_rps'], 1.9],
  ['rps below four for each controller', ['params', 'state', 'rps'], 7.9],
  ['value_kb below a record', ['params', 'state', 'value_kb'], 1.9],
  ['write_rps to come below the number of controllers', ['params', 'state', 'next', 'write_rps'], 1.9],
  ['rps to come below four for each controller', ['params', 'state', 'next', 'rps'], 7.9],
  ['value_kb to come below a record', ['params', 'state', 'next', 'value_kb'], 1.9],
  ['too little memory', ['params', 'machine_limits', 'mem_mb'], 79],
  ['too few sockets', ['params', 'machine_limits', 'max_sockets'], 40],
  ['initial_size beyond the most', ['params', 'initial_size'], 65],
  ['a controller named twice', ['others', 0, 'host_name'], 'a'],
  ['an address without a port', ['public_addr'], '10.0.0.1'],
  ['an address by name', ['external', 'cloud'], 'cloud:8443'],
  ['an address with a port of six digits', ['peer_listen'], '10.0.0.1:123456'],
  ['an address that is no IPv4 address', ['public_addr'], '999.1:1'],
  ['an IPv6 address', ['public_addr'], '[::1]:80'],
];

const UNREADABLE_TOML: [string, string | Uint8Array][] = [
  ['an empty file', ''],
  ['a comment only', '# nothing\n'],
  ['a field without a value', 'host_name = '],
  ['a text that does not end', 'host_name = "a\n'],
  ['a table that does not end', '[external\n'],
  ['a field given twice', 'host_name = "a"\nhost_name = "b"\n'],
  ['a table given twice', '[external]\n[external]\n'],
  ['a field that is a table too', 'external = 1\n[external]\n'],
  ['JSON', '{"host_name": "a"}'],
  ['YAML', 'host_name: a\n'],
  ['zero bytes', new Uint8Array(16)],
  ['not UTF-8', new Uint8Array([0xff, 0xfe, 0x61])],
  ['a number with leading zeros', 'host_name = 007\n'],
  ['a number beyond 64 bits', 'host_name = 99999999999999999999\n'],
];

test('settings: impossible limits and unreadable files are refused with the recorded line', () => {
  const table: Table = {};
  for (const [title, path, value] of IMPOSSIBLE) table[title] = refusalOf(stringify(withValue(SETTINGS, path, value)));
  for (const [title, text] of UNREADABLE_TOML) table[title] = refusalOf(text);
  table['no such file'] = withoutDirectory(settingsRefusal(join(testDirectory, 'none.toml'), null));
  table['a directory'] = withoutDirectory(settingsRefusal(`${testDirectory}/`, null));
  compareWithRecorded('unreadable settings', table);
});

const OPERATOR = { plan_wait_s: 10, silent_s: 7, hold: false, idle_s: 40, max_machines: 100 };

const UNREADABLE_JSON: [string, string][] = [
  ['an empty file', ''],
  ['HCL', 'hold = true\n'],
  ['a truncated map', '{"hold": true'],
  ['null', 'null'],
  ['a list', '[]'],
  ['a text', '"hold"'],
  ['an empty map', '{}'],
  ['an unknown field', '{"more": 1}'],
  ['two unknown fields', '{"more": 1, "other": 2}'],
  ['a fraction of a machine', '{"max_machines": 1.5}'],
  ['a number in a text', '{"plan_wait_s": "10"}'],
];

test("settings: an operators' file that is unreadable or has wrong types is refused with the recorded line", () => {
  const settings = writeTestFile('settings.toml', VALID_SETTINGS);
  const refusal = (text: string) => withoutDirectory(settingsRefusal(settings, writeTestFile('operator.json', text)));
  const table: Table = {};
  for (const field of Object.keys(OPERATOR)) {
    for (const [title, value] of VALUES) table[`${field}: ${title}`] = refusal(JSON.stringify(withField(OPERATOR, field, value)));
  }
  for (const [title, text] of UNREADABLE_JSON) table[title] = refusal(text);
  table['no such file'] = withoutDirectory(settingsRefusal(settings, join(testDirectory, 'none.json')));
  compareWithRecorded("operators' settings", table);
});

/** Runs the built program; returns its output and exit code. */
function runProgram(programArguments: string[], environment: Record<string, string> = {}): unknown {
  const { stdout, stderr, status } = spawnSync(process.execPath, ['target/archpost.mjs', ...programArguments], {
    encoding: 'utf8',
    env: { ...process.env, ...environment },
  });
  return withoutDirectory({ stdout, stderr, exitCode: status });
}

test('settings: the built program prints the recorded lines and ends with the recorded code', () => {
  assert.ok(existsSync('target/archpost.mjs'), 'target/archpost.mjs is missing: run npm run build first');
  const valid = writeTestFile('good.toml', VALID_SETTINGS);
  const wrong = writeTestFile('wrong.toml', stringify(withValue(SETTINGS, ['params', 'workers', 'lease_s'], 'long')));
  const broken = writeTestFile('broken.toml', 'host_name = ');
  const operator = writeTestFile('many.json', JSON.stringify({ max_machines: 10_000 }));
  const wrongOperator = writeTestFile('wrong.json', JSON.stringify({ hold: 'yes' }));
  const none = writeTestFile('empty.json', '{}');
  compareWithRecorded('program', {
    'no arguments': runProgram([]),
    'an unknown option': runProgram(['--config', valid, '--odd']),
    'good settings': runProgram(['--config', valid, '--operator', none, '--check']),
    'settings that are short': runProgram(['--config', valid, '--operator', operator, '--check']),
    'a wrong field': runProgram(['--config', wrong, '--operator', none, '--check']),
    'a wrong field, not only to be checked': runProgram(['--config', wrong, '--operator', none]),
    'no TOML': runProgram(['--config', broken, '--operator', none, '--check']),
    'no such file': runProgram(['--config', join(testDirectory, 'none.toml'), '--check']),
    "a wrong field of the operators'": runProgram(['--config', valid, '--operator', wrongOperator, '--check']),
    'an unknown level of logs': runProgram(['--config', valid, '--operator', none], { LOG_LEVEL: 'odd' }),
  });
});
