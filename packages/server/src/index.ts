/** The entry point of the program: its command line and exit codes. */
import { existsSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Command } from 'commander';
import { errorMessage } from './error-message.js';
import { runService } from './run-service.js';
import { loadSettings, type Settings } from './settings/load-settings.js';
import { SettingsError } from './settings/settings-error.js';
import { findShortages } from './sizing.js';

/** The version of the program, defined by the build. */
declare const ARCHPOST_VERSION: string;

/** The file next to the program to which the build converts the operators' HCL file. */
const BUILT_OPERATOR_FILE = 'operator.json';

const EXIT_CODES = { failure: 1, badSettings: 2 } as const;

interface ProgramOptions {
  config: string;
  operator?: string;
  check?: boolean;
}

/** Returns the path given on the command line, or else that of the built file next to the program; null if there is neither. */
function resolveOperatorFile(explicitPath: string | undefined): string | null {
  if (explicitPath !== undefined) return explicitPath;
  const builtPath = join(dirname(fileURLToPath(import.meta.url)), BUILT_OPERATOR_FILE);
  return existsSync(builtPath) ? builtPath : null;
}

/** Prints the shortages, and that the settings are valid: the service runs despite shortages. */
function printCheckResult(file: string, settings: Settings): void {
  for (const { what, short, need, have } of findShortages(settings))
    process.stdout.write(`${file}: ${what}: ${have} is ${short} short of ${need}\n`);
  process.stdout.write(`${file}: in order\n`);
}

async function run({ config, operator, check }: ProgramOptions): Promise<void> {
  const settings = loadSettings(config, resolveOperatorFile(operator));
  if (check) printCheckResult(config, settings);
  else await runService(settings);
}

function exitWith(error: unknown): never {
  process.stderr.write(`archpost: ${errorMessage(error)}\n`);
  process.exit(error instanceof SettingsError ? EXIT_CODES.badSettings : EXIT_CODES.failure);
}

const program = new Command('archpost')
  .description('A cluster scheduler: places gangs whole, in the smallest domain that holds them.')
  .version(ARCHPOST_VERSION)
  .requiredOption('--config <file>', "the platform's settings (TOML)")
  .option('--operator <file>', "the operators' settings, as built from HCL (default: operator.json beside the program)")
  .option('--check', 'check the settings and end')
  .addHelpText('after', '\nEnvironment: LOG_LEVEL=error|info|debug, how much is logged to standard error.')
  .action(run);

program.parseAsync().catch(exitWith);
