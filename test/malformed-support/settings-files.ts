/** Settings files that are good, and what the program says of others. */

import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stringify } from 'smol-toml';
import { loadSettings } from '../../packages/server/src/settings/load-settings.js';
import { SettingsError } from '../../packages/server/src/settings/settings-error.js';

/** The line that the program prints about its settings, and its exit code; null: they are accepted. */
export function settingsRefusal(path: string, operatorPath: string | null): { line: string; exitCode: number } | null {
  try {
    loadSettings(path, operatorPath);
    return null;
  } catch (error) {
    return { line: `archpost: ${(error as Error).message}`, exitCode: error instanceof SettingsError ? 2 : 1 };
  }
}

/** Good settings of the platform. */
export const SETTINGS = {
  host_name: 'a',
  location: 'east',
  public_addr: '10.0.0.1:8080',
  peer_listen: '10.0.0.1:8081',
  others: [{ host_name: 'b', location: 'west', peer_addr: '10.0.0.2:8081' }],
  external: { cloud: '10.2.0.2:8443', state: '10.2.0.1:2379' },
  params: {
    initial_size: 2,
    zones: ['east', 'west'],
    clock_error_ms: 5,
    teams: [{ name: 'red', cpus: 0, cpus_max: 0, gpus: 8, gpus_max: 24 }],
    objectives: [{ kind: 'wait', class: 'serve', within_s: 5, after_s: 1, share: 0.95, most: 3, times: 2 }],
    workers: { report_s: 2, lease_s: 12, gang_wait_s: 40, gang_peer_s: 4, cancel_s: 37 },
    state: { rps: 100, write_rps: 20, value_kb: 16, txn_ops: 12, next: { rps: 90, write_rps: 15, value_kb: 8, txn_ops: 6 } },
    cloud: { rps: 6, list_lag_s: 5 },
    machine_limits: { cpu_share: 0.136, mem_mb: 178, max_sockets: 1200 },
  },
};

/** Where the files of this test are written. */
export const directory = mkdtempSync(join(tmpdir(), 'archpost-malformed-'));

/** Writes a file for this test; returns its path. */
export function file(name: string, text: string | Uint8Array): string {
  const path = join(directory, name);
  writeFileSync(path, text);
  return path;
}

/** The result with the directory of the test taken out of its line. */
export function withoutDirectory<T>(result: T): T {
  return JSON.parse(JSON.stringify(result).replaceAll(`${directory}/`, ''));
}

/** The good settings as TOML. */
export const GOOD_SETTINGS = stringify(SETTINGS);

/** What the program says of settings with this text. */
export const refusalOf = (text: string | Uint8Array): unknown =>
  withoutDirectory(settingsRefusal(file('settings.toml', text), null));
