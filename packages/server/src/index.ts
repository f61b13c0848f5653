import { existsSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Command } from 'commander';
import { pino } from 'pino';
import { Service } from './service.js';
import { loadSettings, SettingsError } from './settings.js';

declare const ARCHPOST_VERSION: string;

const here = dirname(fileURLToPath(import.meta.url));

function operatorFile(given: string | undefined): string | null {
  if (given !== undefined) return given;
  const built = join(here, 'operator.json');
  return existsSync(built) ? built : null;
}

const program = new Command('archpost')
  .description('A cluster scheduler: places gangs whole, in the smallest domain that holds them.')
  .version(ARCHPOST_VERSION)
  .requiredOption('--config <file>', "the platform's settings (TOML)")
  .option('--operator <file>', "the operators' settings, as built from HCL (default: operator.json beside the program)")
  .option('--check', 'check the settings and end')
  .addHelpText('after', '\nEnvironment: LOG_LEVEL=error|info|debug, how much is logged to standard error.')
  .action(async (o: { config: string; operator?: string; check?: boolean }) => {
    const settings = loadSettings(o.config, operatorFile(o.operator));
    if (o.check) {
      process.stdout.write(`${o.config}: in order\n`);
      return;
    }
    const level = process.env.LOG_LEVEL ?? 'info';
    if (!['error', 'warn', 'info', 'debug'].includes(level))
      throw new SettingsError(`LOG_LEVEL: ${level}: must be error, info or debug`);
    const log = pino({ level, base: { node: settings.core.node } }, pino.destination({ dest: 2, sync: true }));
    process.on('unhandledRejection', (e) => log.error({ err: e }, 'unexpected'));
    process.on('uncaughtException', (e) => log.error({ err: e }, 'unexpected'));
    await new Service(settings, log).start();
  });

program.parseAsync().catch((e: unknown) => {
  process.stderr.write(`archpost: ${e instanceof Error ? e.message : String(e)}\n`);
  process.exit(e instanceof SettingsError ? 2 : 1);
});
