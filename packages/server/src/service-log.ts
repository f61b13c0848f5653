/**
 * The log events of the service, with their levels, messages and fields. Operators' alerts match messages and fields, so
 * these don't follow the names in the code.
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
    this.logger.info({ node, addr: address }, 'started');
  }

  /** An error that nothing caught; the process goes on. */
  unexpectedError(error: unknown): void {
    this.logger.error({ err: error }, 'unexpected');
  }

  heapPlanned(plan: HeapPlan): void {
    this.logger.debug(plan, 'heap');
  }

  settingsShort(shortage: Shortage): void {
    this.logger.warn(shortage, 'settings are short');
  }

  inputFailed(error: unknown): void {
    this.logger.error({ err: error }, 'an input could not be taken');
  }

  heartbeatMalformed(from: string): void {
    this.logger.warn({ from }, 'a report can not be read');
  }

  peerMessageUnreadable(problem: LinkProblem): void {
    this.logger.warn(problem, 'a peer message can not be read');
  }

  peerMessageNotSent(problem: LinkProblem): void {
    this.logger.error(problem, 'a peer message can not be sent');
  }

  cloudResponseUnreadable(what: string): void {
    this.logger.error({ what }, "the cloud's answer can not be read");
  }

  stateResponseUnreadable(what: string): void {
    this.logger.error({ what }, "the state service's answer can not be read");
  }

  clientRequestsRejected(rejected: { statusQueries: number; mutations: number }): void {
    this.logger.info({ questions: rejected.statusQueries, requests: rejected.mutations }, 'users refused');
  }

  connectionsRejected(connections: number): void {
    this.logger.warn({ connections }, 'connections refused');
  }

  processFigures(figures: ProcessFigures, processed: ProcessedCounts): void {
    const { heartbeats, controlEvents, mutations, statusQueries, rejected } = processed;
    const taken = { reports: heartbeats, decisions: controlEvents, requests: mutations, questions: statusQueries };
    this.logger.debug({ ...figures, ...taken, refused: rejected }, 'process');
  }

  controllerEvent({ level, message, fields }: ControllerLogEffect): void {
    this.logger[level](fields ?? {}, message);
  }
}
