/** Periodic logging of this process's counters for debugging. Owns the time of the last log line. */
import type { ClusterStateView, Logger, StateWriting } from './context/index.js';
import type { HeartbeatResponder } from './heartbeats/index.js';
import type { Milliseconds } from './model/index.js';
import type { ReadBarriers } from './state/index.js';

const LOG_INTERVAL_MS = 10_000;

/** The parts whose counters are logged in addition to those of the context. */
export interface FigureSources {
  heartbeatResponder: HeartbeatResponder;
  readBarriers: ReadBarriers;
}

/** Logs the counts since the last log line, and current sizes. */
export class DebugFigures {
  private loggedAt: Milliseconds = 0;

  constructor(
    private readonly context: ClusterStateView & StateWriting & Logger,
    private readonly sources: FigureSources,
  ) {}

  /** Logs the counters if the log interval has passed, and resets them. */
  tick(now: Milliseconds): void {
    if (now - this.loggedAt <= LOG_INTERVAL_MS) return;
    this.loggedAt = now;
    this.context.log('debug', 'figures', {
      changes: this.context.writer.takeWriteCounts(),
      workers: this.sources.heartbeatResponder.takeResponseCounts(),
      jobs: this.context.clusterState.jobs.size,
      machines: this.context.clusterState.machines.size,
      barriers: this.sources.readBarriers.size,
    });
  }
}
