/** Valid settings, and the program's error lines for invalid settings files. */

import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stringify } from 'smol-toml';
import { loadSettings } from '../../packages/server/src/settings/load-settings.js';
import { SettingsError } from '../../packages/server/src/settings/settings-error.js';

/** Returns the error line that the program prints about its settings and its exit code, or null if the settings are accepted. */
export function settingsRefusal(path: string, operatorPath: string | null): { line: string; exitCode: number } | null {
  try {
    loadSettings(path, operatorPath);
    return null;
  } catch (error) {
    return { line: `archpost: ${(error as Error).message}`, exitCode: error instanceof SettingsError ? 2 : 1 };
  }
}

/** Valid settings of a controller. */
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

/** The directory in which the files of the test are written. */
export const testDirectory = mkdtempSync(join(tmpdir(), 'archpost-malformed-'));

/** Writes a file for the test and returns its path. */
export function writeTestFile(name: string, text: string | Uint8Array): string {
  const path = join(testDirectory, name);
  writeFileSync(path, text);
  return path;
}

/** Removes the path of the test directory from a result. */
export function withoutDirectory<T>(result: T): T {
  return JSON.parse(JSON.stringify(result).replaceAll(`${testDirectory}/`, ''));
}

/** The valid settings as TOML. */
export const VALID_SETTINGS = stringify(SETTINGS);

/** Returns the error line and the exit code for a settings file with this text, or null if it is accepted. */
export const refusalOf = (text: string | Uint8Array): unknown =>
  withoutDirectory(settingsRefusal(writeTestFile('settings.toml', text), null));
