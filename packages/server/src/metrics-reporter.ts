/** Periodic figures of load: rejected requests and connections, processor time, memory, inputs. */
import type { ConnectionLimiter, LoadShedder } from '@archpost/http-api';
import type { Inbox } from './inbox.js';
import type { ProcessFigures, ServiceLog } from './service-log.js';

const LOG_INTERVAL_MS = 10_000;

const BYTES_PER_MB = 1024 * 1024;
const MICROSECONDS_PER_S = 1e6;

/** Logs the figures of each interval. */
export class MetricsReporter {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly inbox: Inbox,
    private readonly loadShedder: LoadShedder,
    private readonly connections: ConnectionLimiter,
    private readonly log: ServiceLog,
  ) {}

  /** Starts the timer; the first figures come after one interval. */
  start(): void {
    this.timer = setInterval(() => this.logFigures(), LOG_INTERVAL_MS);
  }

  /** Ends the timer. */
  close(): void {
    clearInterval(this.timer);
  }

  private logFigures(): void {
    const rejected = this.loadShedder.takeRejectedCounts();
    if (rejected.statusQueries + rejected.mutations > 0) this.log.clientRequestsRejected(rejected);
    const connections = this.connections.takeRejectedCount();
    if (connections > 0) this.log.connectionsRejected(connections);
    this.log.processFigures(processFigures(), this.inbox.takeProcessedCounts());
  }
}

function processFigures(): ProcessFigures {
  const cpu = process.cpuUsage();
  const { rss, heapUsed } = process.memoryUsage();
  return {
    cpuS: (cpu.user + cpu.system) / MICROSECONDS_PER_S,
    rssMb: Math.round(rss / BYTES_PER_MB),
    heapMb: Math.round(heapUsed / BYTES_PER_MB),
  };
}
