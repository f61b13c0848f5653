/**
 * The log events of the service, with their levels, messages and fields. Operators' alerts match messages and fields: one that
 * is renamed goes into docs/operations/renamed-log-messages.json.
 */
import type { Effect } from '@archpost/controller';
import type { LinkProblem } from '@archpost/peer-transport';
import type { Logger } from 'pino';
import type { HeapPlan } from './heap-plan.js';
import type { ProcessedCounts } from './inbox.js';
import type { Shortage } from './sizing.js';

/** A log event of the controller. */
type ControllerLogEffect = Extract<Effect, { type: 'log' }>;

/** Resources that the process has used since its start, or holds now. */
export interface ProcessFigures {
  /** processor time, in seconds */
  cpuS: number;
  /** resident memory, in megabytes */
  rssMb: number;
  /** the heap that is in use, in megabytes */
  heapMb: number;
}

/** Writes log events, one method for each. */
export class ServiceLog {
  constructor(private readonly logger: Logger) {}

  started(node: string, address: string): void {
    this.logger.info({ node, address }, 'started');
  }

  /** An error that nothing caught; the process goes on. */
  unexpectedError(error: unknown): void {
    this.logger.error({ err: error }, 'unexpected');
  }

  heapPlanned(plan: HeapPlan): void {
    this.logger.debug(plan, 'heap');
  }

  settingsInsufficient(shortage: Shortage): void {
    this.logger.warn(shortage, 'settings insufficient for max_machines');
  }

  inputFailed(error: unknown): void {
    this.logger.error({ err: error }, 'failed to process an input');
  }

  heartbeatMalformed(from: string): void {
    this.logger.warn({ from }, 'unreadable heartbeat');
  }

  peerMessageUnreadable(problem: LinkProblem): void {
    this.logger.warn(problem, 'unreadable peer message');
  }

  peerMessageNotSent(problem: LinkProblem): void {
    this.logger.error(problem, 'peer message too large to send');
  }

  cloudResponseUnreadable(what: string): void {
    this.logger.error({ what }, 'unreadable cloud response');
  }

  stateResponseUnreadable(what: string): void {
    this.logger.error({ what }, 'unreadable state service response');
  }

  clientRequestsRejected(rejected: { statusQueries: number; mutations: number }): void {
    this.logger.info(rejected, 'user requests shed');
  }

  connectionsRejected(connections: number): void {
    this.logger.warn({ connections }, 'connections refused');
  }

  processFigures(figures: ProcessFigures, processed: ProcessedCounts): void {
    this.logger.debug({ ...figures, ...processed }, 'process');
  }

  controllerEvent({ level, message, fields }: ControllerLogEffect): void {
    this.logger[level](fields ?? {}, message);
  }
}
