/** What each controller refused, and what its processor time and memory go to, is worth seeing at any size. */
import type { ConnectionLimiter, LoadShedder } from '@archpost/http-api';
import type { Inbox } from './inbox.js';
import type { ProcessFigures, ServiceLog } from './service-log.js';

const REPORT_INTERVAL_MS = 10_000;

const BYTES_PER_MB = 1024 * 1024;
const MICROSECONDS_PER_S = 1e6;

/** Logs figures of the last ten seconds, again and again. */
export class MetricsReporter {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly inbox: Inbox,
    private readonly loadShedder: LoadShedder,
    private readonly connections: ConnectionLimiter,
    private readonly log: ServiceLog,
  ) {}

  start(): void {
    this.timer = setInterval(() => this.report(), REPORT_INTERVAL_MS);
  }

  close(): void {
    clearInterval(this.timer);
  }

  private report(): void {
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
