/** The cloud on loopback: machine types, a paged machine list and releases. It has no capacity to provision machines. */
import type { MachineType } from '@archpost/protocol';
import { TYPES } from '../simulation/fixtures.js';
import { type BodyReplacement, createServer, type LoopbackRequest, type LoopbackResponse, listen } from './http.js';

/** Age that the list reports for every machine. */
const MACHINE_AGE_S = 3600;

/** A machine as the cloud lists it. */
export interface ListedMachine {
  name: string;
  address: string;
  type: string;
  zone: string;
}

function encodeMachineType(type: MachineType): Record<string, unknown> {
  return {
    name: type.name,
    cores: type.cpus,
    accelerators: type.gpus,
    memory_gb: type.memory,
    cache_gb: type.cacheGb,
    fetch_gb_per_s: type.fetchGbPerS,
    hourly: type.price,
    spot_price: type.spotPrice,
    boot_s: type.bootS,
    yards: type.zones,
  };
}

/** Serves the cloud's HTTP interface on a free port. */
export class CloudServer {
  /** names of the released machines */
  readonly releasedMachines = new Set<string>();
  /** number of requests received */
  requestCount = 0;
  /** replaces the bodies of responses */
  bodyReplacement: BodyReplacement = () => null;
  private readonly server = createServer(
    (request) => this.handle(request),
    (path) => this.bodyReplacement(path),
  );

  /** `machines` returns the machines sorted by name */
  constructor(private readonly machines: () => readonly ListedMachine[]) {}

  /** Starts listening. Returns the address. */
  listen(): Promise<string> {
    return listen(this.server);
  }

  /** Closes the server and its connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private handle({ method, path, query, body }: LoopbackRequest): LoopbackResponse {
    this.requestCount++;
    if (path === '/machine_types') return { status: 200, body: { builds: TYPES.map(encodeMachineType) } };
    if (path === '/machines' && method === 'GET') return this.list(query);
    if (path === '/machines') return { status: 503, body: { error: 'no capacity' } };
    for (const name of body.hosts as string[]) this.releasedMachines.add(name);
    return { status: 200, body: {} };
  }

  private list(query: URLSearchParams): LoopbackResponse {
    const since = query.get('since') ?? '';
    const all = this.machines().filter(({ name }) => name > since && !this.releasedMachines.has(name));
    const hosts = all.slice(0, Number(query.get('most') ?? 500)).map(({ name, address, type, zone }) => ({
      ref: name,
      address,
      build: type,
      yard: zone,
      loaners: false,
      status: 'running',
      age_s: MACHINE_AGE_S,
    }));
    return { status: 200, body: { hosts, has_next: hosts.length < all.length } };
  }
}
