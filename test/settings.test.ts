// Settings: what is read, what is refused, and which field an error names.

import assert from 'node:assert/strict';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { loadSettings } from '../packages/server/src/settings/load-settings.js';
import { SettingsError } from '../packages/server/src/settings/settings-error.js';
import { ControllerProcess, freeAddress } from './loopback/controller-process.js';
import { FLEET_MACHINES, waitForCount } from './scenarios/loopback-fixtures.js';

const SETTINGS = `
host_name = "a"
location = "east"
public_addr = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
unknown_field = "is ignored"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
initial_size = 1
zones = ["east"]
[[params.teams]]
name = "red"
cpus = 0.0
cpus_max = 0.0
gpus = 8.0
gpus_max = 24.0
[params.workers]
report_s = 2.0
lease_s = 12.0
gang_wait_s = 40.0
gang_peer_s = 4.0
cancel_s = 37.0
[params.state]
rps = 100.0
write_rps = 20.0
value_kb = 16.0
txn_ops = 12
[params.cloud]
rps = 6.0
list_lag_s = 5.0
[params.machine_limits]
cpu_share = 0.136
mem_mb = 178.0
max_sockets = 1200
`;

function writeSettings(text: string): string {
  const path = join(mkdtempSync(join(tmpdir(), 'archpost-')), 'settings.toml');
  writeFileSync(path, text);
  return path;
}

test('unknown fields of the settings are ignored; an error names the file and the field', () => {
  assert.equal(loadSettings(writeSettings(SETTINGS), null).controller.name, 'a');
  const wrongFile = writeSettings(SETTINGS.replace('lease_s = 12.0', 'lease_s = "long"'));
  assert.throws(
    () => loadSettings(wrongFile, null),
    (e) => e instanceof SettingsError && e.message.includes('params.workers.lease_s') && e.message.includes(wrongFile),
  );
  assert.throws(() => loadSettings(writeSettings('host_name = '), null), /not valid TOML/);
  assert.throws(() => loadSettings('/nowhere/settings.toml', null), /no such file/);
});

test('settings with which the rules cannot be kept, or no request can be served, are refused with the name of the field', () => {
  const assertRefused = (from: string, to: string, named: RegExp) =>
    assert.throws(
      () => loadSettings(writeSettings(SETTINGS.replace(from, to)), null),
      (e) => e instanceof SettingsError && named.test(e.message) && !e.message.includes('\n'),
    );
  assertRefused('cancel_s = 37.0', 'cancel_s = 16.5', /params\.workers\.cancel_s: .*2\.5 s/);
  assertRefused('write_rps = 20.0', 'write_rps = 0.5', /params\.state\.write_rps/);
  assertRefused('mem_mb = 178.0', 'mem_mb = 32.0', /params\.machine_limits\.mem_mb/);
  assertRefused('max_sockets = 1200', 'max_sockets = 40', /params\.machine_limits\.max_sockets/);
  assert.equal(
    loadSettings(writeSettings(SETTINGS.replace('cancel_s = 37.0', 'cancel_s = 17.0')), null).controller.workers.cancelS,
    17,
  );
});

test('settings too low for the number of machines that they allow are reported in one line each, and accepted', async () => {
  const controller = new ControllerProcess({
    name: 'n0',
    zone: 'east',
    publicAddress: await freeAddress(),
    peerAddress: await freeAddress(),
    others: [],
    cloud: '127.0.0.1:1',
    state: '127.0.0.1:1',
    zones: ['east'],
    memoryMb: 100,
    sockets: 500,
    writesPerS: 20,
  });
  const operator = join(mkdtempSync(join(tmpdir(), 'archpost-operator-')), 'operator.json');
  writeFileSync(operator, JSON.stringify({ max_machines: FLEET_MACHINES }));
  controller.start(['--operator', operator, '--check']);
  await waitForCount('the process has ended', 1, () => Number(controller.ended !== null));
  assert.equal(controller.ended?.code, 0);
  const lines = controller.output.trim().split('\n');
  assert.equal(lines.length, 4);
  for (const [index, setting] of ['max_sockets', 'mem_mb', 'write_rps'].entries())
    assert.match(lines[index] as string, new RegExp(setting));
  assert.match(lines[3] as string, /in order/);
});
