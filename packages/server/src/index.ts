import { existsSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { isMainThread } from 'node:worker_threads';
import { Command } from 'commander';
import { pino } from 'pino';
import { startGarbageCollection } from './garbage-collection.js';
import { heapLimitMb, planHeap } from './heap-plan.js';
import { Service } from './service.js';
import { ServiceLog } from './service-log.js';
import { runInThread } from './service-thread.js';
import { loadSettings, type Settings } from './settings/load-settings.js';
import { SettingsError } from './settings/settings-error.js';
import { findShortages } from './sizing.js';

declare const ARCHPOST_VERSION: string;

const here = dirname(fileURLToPath(import.meta.url));

function resolveOperatorFile(given: string | undefined): string | null {
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
  .action(async (options: { config: string; operator?: string; check?: boolean }) => {
    const settings = loadSettings(options.config, resolveOperatorFile(options.operator));
    if (options.check) {
      for (const { what, short, need, have } of findShortages(settings))
        process.stdout.write(`${options.config}: ${what}: ${have} is ${short} short of ${need}\n`);
      process.stdout.write(`${options.config}: in order\n`);
      return;
    }
    const level = process.env.LOG_LEVEL ?? 'info';
    if (!['error', 'warn', 'info', 'debug'].includes(level))
      throw new SettingsError({ source: 'LOG_LEVEL', field: null, reason: `${level}: must be error, info or debug` });
    const log = new ServiceLog(
      pino({ level, base: { node: settings.controller.name } }, pino.destination({ dest: 2, sync: true })),
    );
    process.on('unhandledRejection', (reason) => log.unexpectedError(reason));
    process.on('uncaughtException', (error) => log.unexpectedError(error));
    if (isMainThread && startInOwnThread(settings, log)) return;
    for (const shortage of findShortages(settings)) log.settingsShort(shortage);
    await new Service(settings, log).start();
  });

/** Runs the service in a thread with the heap that its memory allows, if this one's doesn't fit. */
function startInOwnThread(settings: Settings, log: ServiceLog): boolean {
  const plan = planHeap({ memoryMb: settings.memoryMb, sockets: settings.maxSockets }, heapLimitMb());
  log.heapPlanned(plan);
  if (plan.kind === 'collect') startGarbageCollection(plan.beyondMb);
  if (plan.kind !== 'thread') return false;
  runInThread(process.argv[1] as string, plan.heapMb);
  return true;
}

program.parseAsync().catch((error: unknown) => {
  process.stderr.write(`archpost: ${error instanceof Error ? error.message : String(error)}\n`);
  process.exit(error instanceof SettingsError ? 2 : 1);
});
