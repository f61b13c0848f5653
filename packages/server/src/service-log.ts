/**
 * The log events of the service, with their levels, messages and fields. Operators' alerts match messages and fields, so each
 * renamed one must be listed in docs/operations/renamed-log-messages.json.
 */
import type { Effect } from '@archpost/controller';
import type { HeartbeatFault } from '@archpost/http-api';
import type { LinkProblem } from '@archpost/peer-transport';
import type { Logger } from 'pino';
import type { HeapPlan } from './heap-plan.js';
import type { ProcessedCounts } from './inbox.js';
import type { Shortage } from './sizing.js';

/** The effect by which the controller emits a log event. */
type ControllerLogEffect = Extract<Effect, { type: 'log' }>;

/** A heartbeat that could not be decoded, without its content. */
export interface MalformedHeartbeat {
  /** address of the client */
  from: string;
  fault: HeartbeatFault;
}

/** Resource usage of the process. */
export interface ProcessFigures {
  /** CPU time since the start of the process, in seconds */
  cpuS: number;
  /** current resident memory, in megabytes */
  rssMb: number;
  /** currently used heap, in megabytes */
  heapMb: number;
}

/** Writes log events, with one method per event. */
export class ServiceLog {
  constructor(private readonly logger: Logger) {}

  started(node: string, address: string): void {
    this.logger.info({ node, address }, 'started');
  }

  /** An uncaught error, after which the process continues. */
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

  heartbeatMalformed(problem: MalformedHeartbeat, count: number): void {
    this.logger.warn({ ...problem, count }, 'unreadable heartbeat');
  }

  peerMessageUnreadable(problem: LinkProblem, count: number): void {
    this.logger.warn({ ...problem, count }, 'unreadable peer message');
  }

  peerMessageNotSent(problem: LinkProblem): void {
    this.logger.error(problem, 'peer message too large to send');
  }

  cloudResponseUnreadable(what: string, count: number): void {
    this.logger.error({ what, count }, 'unreadable cloud response');
  }

  stateResponseUnreadable(what: string, count: number): void {
    this.logger.error({ what, count }, 'unreadable state service response');
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
