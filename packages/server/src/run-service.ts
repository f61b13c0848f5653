/** Starts the service, in this thread or in a thread whose heap fits the memory limit in the settings. */
import { isMainThread } from 'node:worker_threads';
import { pino } from 'pino';
import { GarbageCollector } from './garbage-collection.js';
import { heapLimitMb, planHeap } from './heap-plan.js';
import { Service } from './service.js';
import { ServiceLog } from './service-log.js';
import { ServiceThread } from './service-thread.js';
import type { Settings } from './settings/load-settings.js';
import { SettingsError } from './settings/settings-error.js';
import { findShortages } from './sizing.js';

const LOG_LEVELS: readonly string[] = ['error', 'warn', 'info', 'debug'];
const DEFAULT_LOG_LEVEL = 'info';

const STANDARD_ERROR = 2;

/**
 * Starts the service. Resolves once the service is up, or once its thread is started.
 *
 * @throws SettingsError if LOG_LEVEL isn't a log level
 */
export async function runService(settings: Settings): Promise<void> {
  const log = createLog(settings.controller.name);
  // A failed input costs less than a restart, so the process continues.
  process.on('unhandledRejection', (reason) => log.unexpectedError(reason));
  process.on('uncaughtException', (error) => log.unexpectedError(error));
  if (isMainThread && startThread(settings, log)) return;
  for (const shortage of findShortages(settings)) log.settingsInsufficient(shortage);
  await new Service(settings, log).start();
}

/** Creates a log that writes to standard error synchronously: buffered lines would be lost when the process is killed. */
function createLog(node: string): ServiceLog {
  const level = process.env.LOG_LEVEL ?? DEFAULT_LOG_LEVEL;
  if (!LOG_LEVELS.includes(level))
    throw new SettingsError({ source: 'LOG_LEVEL', field: null, reason: `${level}: must be error, info or debug` });
  return new ServiceLog(pino({ level, base: { node } }, pino.destination({ dest: STANDARD_ERROR, sync: true })));
}

/** Applies the heap plan, in the main thread. Returns whether the service runs in another thread. */
function startThread(settings: Settings, log: ServiceLog): boolean {
  const plan = planHeap({ memoryMb: settings.memoryMb, sockets: settings.maxSockets }, heapLimitMb());
  log.heapPlanned(plan);
  switch (plan.kind) {
    case 'as it is':
      return false;
    case 'collect':
      new GarbageCollector(plan.beyondMb).start();
      return false;
    case 'thread': {
      const [, programPath = ''] = process.argv;
      new ServiceThread(programPath, plan.heapMb);
      return true;
    }
  }
}
