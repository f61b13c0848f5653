/** Periodic load metrics: rejected requests and connections, CPU time, memory, processed inputs. */
import type { ConnectionLimiter, LoadShedder } from '@archpost/http-api';
import { BYTES_PER_MB } from './heap-plan.js';
import type { Inbox } from './inbox.js';
import type { ProcessFigures, ServiceLog } from './service-log.js';

const LOG_INTERVAL_MS = 10_000;

const MICROSECONDS_PER_S = 1e6;

/** The sources of the metrics, and the log that they are written to. */
export interface MetricsSources {
  inbox: Inbox;
  loadShedder: LoadShedder;
  connections: ConnectionLimiter;
  log: ServiceLog;
}

/** Logs the metrics at the end of each interval. */
export class MetricsReporter {
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly sources: MetricsSources) {}

  /** Starts the timer. The first metrics are logged after one interval. */
  start(): void {
    this.timer = setInterval(() => this.logFigures(), LOG_INTERVAL_MS);
  }

  /** Stops the timer. */
  close(): void {
    clearInterval(this.timer);
  }

  private logFigures(): void {
    const { inbox, loadShedder, connections, log } = this.sources;
    const rejected = loadShedder.takeRejectedCounts();
    if (rejected.statusQueries + rejected.mutations > 0) log.clientRequestsRejected(rejected);
    const rejectedConnections = connections.takeRejectedCount();
    if (rejectedConnections > 0) log.connectionsRejected(rejectedConnections);
    log.processFigures(readProcessFigures(), inbox.takeProcessedCounts());
  }
}

function readProcessFigures(): ProcessFigures {
  const cpu = process.cpuUsage();
  const { rss, heapUsed } = process.memoryUsage();
  return {
    cpuS: (cpu.user + cpu.system) / MICROSECONDS_PER_S,
    rssMb: Math.round(rss / BYTES_PER_MB),
    heapMb: Math.round(heapUsed / BYTES_PER_MB),
  };
}
