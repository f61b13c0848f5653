// Settings: what is read, what is refused and by which line.

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

function file(text: string): string {
  const path = join(mkdtempSync(join(tmpdir(), 'archpost-')), 'settings.toml');
  writeFileSync(path, text);
  return path;
}

test('settings: unknown fields are ignored; a bad file is named with its field', () => {
  assert.equal(loadSettings(file(SETTINGS), null).controller.name, 'a');
  const wrong = file(SETTINGS.replace('lease_s = 12.0', 'lease_s = "long"'));
  assert.throws(
    () => loadSettings(wrong, null),
    (e) => e instanceof SettingsError && e.message.includes('params.workers.lease_s') && e.message.includes(wrong),
  );
  assert.throws(() => loadSettings(file('host_name = '), null), /not valid TOML/);
  assert.throws(() => loadSettings('/nowhere/settings.toml', null), /no such file/);
});

test('settings under which rules could not be kept, or nothing be served, are refused by the field', () => {
  const refused = (from: string, to: string, named: RegExp) =>
    assert.throws(
      () => loadSettings(file(SETTINGS.replace(from, to)), null),
      (e) => e instanceof SettingsError && named.test(e.message) && !e.message.includes('\n'),
    );
  refused('cancel_s = 37.0', 'cancel_s = 16.5', /params\.workers\.cancel_s: .*2\.5 s/);
  refused('write_rps = 20.0', 'write_rps = 0.5', /params\.state\.write_rps/);
  refused('mem_mb = 178.0', 'mem_mb = 32.0', /params\.machine_limits\.mem_mb/);
  refused('max_sockets = 1200', 'max_sockets = 40', /params\.machine_limits\.max_sockets/);
  assert.equal(loadSettings(file(SETTINGS.replace('cancel_s = 37.0', 'cancel_s = 17.0')), null).controller.workers.cancelS, 17);
});

test('settings that can not carry the machines they allow: one line each, and they are in order all the same', async () => {
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
  await waitForCount('it has ended', 1, () => Number(controller.ended !== null));
  assert.equal(controller.ended?.code, 0);
  const lines = controller.output.trim().split('\n');
  assert.equal(lines.length, 4);
  for (const [index, setting] of ['max_sockets', 'mem_mb', 'write_rps'].entries())
    assert.match(lines[index] as string, new RegExp(setting));
  assert.match(lines[3] as string, /in order/);
});
