/**
 * The settings of this process, from the platform's file (TOML) and the operators' file (JSON, built from HCL). Each file is
 * read, validated against its schema, and mapped to the settings that the program uses.
 */
import type { ControllerSettings } from '@archpost/controller';
import { requireFeasibleSettings } from './feasibility.js';
import { operatorSchema, toPolicy } from './operator-settings.js';
import { type PlatformSettings, platformSchema, toControllerSettings } from './platform-settings.js';
import { SettingsError } from './settings-error.js';
import { parseOperatorJson, parseToml, validate } from './settings-file.js';

/** The source named in errors if there is no operators' file and the defaults apply. */
const NO_OPERATOR_FILE = 'operator settings';

/** The settings that the program uses from both files. Addresses are `IP:port`. */
export interface Settings {
  /** the settings that the controller's decisions depend on */
  controller: ControllerSettings;
  /** the address to which users, workers and health checks connect */
  publicAddress: string;
  /** the address to which the other controllers connect */
  peerAddress: string;
  /** the other controllers, with the addresses on which they accept peer connections */
  peers: { name: string; address: string }[];
  cloudAddress: string;
  stateAddress: string;
  /** maximum number of open connections of the process */
  maxSockets: number;
  /** memory limit of the process, in megabytes */
  memoryMb: number;
}

/**
 * Reads and validates both files.
 *
 * @param operatorPath the operators' file; if null, the operators' defaults apply
 * @throws SettingsError if a file can't be read, a field violates its schema, or a limit is too small to run with
 */
export function loadSettings(path: string, operatorPath: string | null): Settings {
  const platform = validate(path, platformSchema, parseToml(path));
  const operator = validate(
    operatorPath ?? NO_OPERATOR_FILE,
    operatorSchema,
    operatorPath === null ? {} : parseOperatorJson(operatorPath),
  );
  requireFeasibleSettings(path, platform);
  requireUniqueNames(path, platform);
  const policy = toPolicy(operator, platform.params.workers.report_s);
  return {
    controller: toControllerSettings(platform, policy),
    publicAddress: platform.public_addr,
    peerAddress: platform.peer_listen,
    peers: platform.others.map((other) => ({ name: other.host_name, address: other.peer_addr })),
    cloudAddress: platform.external.cloud,
    stateAddress: platform.external.state,
    maxSockets: platform.params.machine_limits.max_sockets,
    memoryMb: platform.params.machine_limits.mem_mb,
  };
}

/**
 * Requires that controllers have different names. Leases and messages identify controllers by name, so two controllers with
 * the same name would act for each other.
 */
function requireUniqueNames(path: string, platform: PlatformSettings): void {
  const names = [platform.host_name, ...platform.others.map((other) => other.host_name)];
  if (new Set(names).size === names.length) return;
  throw new SettingsError({ source: path, field: 'others', reason: 'host_name given twice' });
}
