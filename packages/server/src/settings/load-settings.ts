/**
 * The settings of this process. The platform's file (TOML) and the operators' (JSON, built from HCL) meet here: each is
 * read, validated by its schema, and mapped to what the program uses.
 */
import type { ControllerSettings } from '@archpost/controller';
import { requireFeasibleSettings } from './feasibility.js';
import { operatorSchema, toPolicy } from './operator-settings.js';
import { type PlatformSettings, platformSchema, toControllerSettings } from './platform-settings.js';
import { SettingsError } from './settings-error.js';
import { parseOperatorJson, parseToml, validate } from './settings-file.js';

/** Named in errors where there is no operators' file, so that the defaults apply. */
const NO_OPERATOR_FILE = 'operator settings';

/** What the program uses of both files. Addresses are `IP:port`. */
export interface Settings {
  /** what the controller's decisions depend on */
  controller: ControllerSettings;
  /** where users, workers and health checks connect */
  publicAddress: string;
  /** where the other controllers connect */
  peerAddress: string;
  /** the other controllers, and where they listen for this one */
  peers: { name: string; address: string }[];
  cloudAddress: string;
  stateAddress: string;
  /** connections that the process may have open */
  maxSockets: number;
  /** memory that the process may hold, in megabytes */
  memoryMb: number;
}

/**
 * Reads and checks both files.
 *
 * @param operatorPath null: the operators' defaults apply
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

/** Leases and messages name controllers: two of one name would act for each other. */
function requireUniqueNames(path: string, platform: PlatformSettings): void {
  const names = [platform.host_name, ...platform.others.map((other) => other.host_name)];
  if (new Set(names).size === names.length) return;
  throw new SettingsError({ source: path, field: 'others', reason: 'host_name given twice' });
}
