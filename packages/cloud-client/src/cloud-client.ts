/** Machine types, the list of machines, and provisioning and releasing machines. */
import { HttpClient, monotonicMs, RequestBudget } from '@archpost/http-client';
import {
  decodeServiceResponse,
  encodeProvisioningRequest,
  encodeReleaseRequest,
  isOutOfCapacity,
  type ListedMachine,
  type MachinePage,
  type MachineType,
  type MessagePackMap,
  machineListPath,
  PATHS,
  type ProvisioningRequest,
  pack,
  parseMachineList,
  parseMachineTypes,
  parseProvisionedMachines,
  readResponse,
  type ServiceResponse,
} from '@archpost/protocol';
import { Subject } from 'rxjs';

/** Connections to the cloud. */
export const CLOUD_SOCKETS = 6;

const TIMEOUT_MS = 3000;

/** Part of the request budget that pages of lists may take: provisioning and releasing need the rest. */
const LIST_BUDGET_FRACTION = 0.5;

/** Attempts to read a page after the first: a failure would waste the pages before it. */
const PAGE_ATTEMPTS = 3;

const PROVISIONING_ATTEMPTS = 3;

/**
 * Ok: these machines were provisioned, perhaps fewer than requested. Out of capacity: none was provisioned. Unknown: no
 * attempt got a response, and machines may have been provisioned, or may be later.
 */
export type ProvisioningOutcome = { kind: 'ok'; machines: string[] } | { kind: 'outOfCapacity' | 'unknown' };

/** Owns the connections to the cloud. Calls wait for their turn in the request budget. */
export class CloudClient {
  /** What could not be parsed though the response had status 200. */
  readonly unreadable$ = new Subject<string>();
  private readonly client: HttpClient;
  private readonly budget: RequestBudget;
  private readonly listBudget: RequestBudget;
  private isClosed = false;

  /** `requestsPerS`: this controller's part of the cloud's request limit. */
  constructor(address: string, requestsPerS: number) {
    this.client = new HttpClient(address, CLOUD_SOCKETS);
    this.budget = new RequestBudget(requestsPerS, monotonicMs);
    this.listBudget = new RequestBudget(requestsPerS * LIST_BUDGET_FRACTION, monotonicMs);
  }

  /** Null if there was no response, it was an error, or it can not be parsed. */
  async fetchMachineTypes(): Promise<MachineType[] | null> {
    const response = await this.get(PATHS.machineTypes);
    return this.parse(response, 'machine types', parseMachineTypes);
  }

  /** All machines; null if a page could not be read. Pages are of different times, and all of them lag. */
  async listMachines(): Promise<ListedMachine[] | null> {
    const machines: ListedMachine[] = [];
    let after = '';
    for (;;) {
      const page = await this.readPage(after);
      if (!page) return null;
      machines.push(...page.machines);
      if (!page.hasMore || page.machines.length === 0) return machines;
      after = page.machines[page.machines.length - 1]?.machine ?? '';
    }
  }

  /** Retries a request that gets no response. It is idempotent: if it was carried out, the response is the same. */
  async provision(request: ProvisioningRequest): Promise<ProvisioningOutcome> {
    for (let attempt = 0; attempt < PROVISIONING_ATTEMPTS; attempt++) {
      const response = await this.post(PATHS.machines, encodeProvisioningRequest(request));
      if (response?.status === 200 && response.body)
        return { kind: 'ok', machines: parseProvisionedMachines(response.body) ?? [] };
      if (response?.status === 503 && isOutOfCapacity(response.body)) return { kind: 'outOfCapacity' };
      if (response?.status === 400) return { kind: 'outOfCapacity' };
    }
    return { kind: 'unknown' };
  }

  /** True once the machines and everything on them are gone; false if that is not known. */
  async releaseMachines(machines: string[]): Promise<boolean> {
    const response = await this.post(PATHS.machineReleases, encodeReleaseRequest(machines));
    return response?.status === 200;
  }

  /** Ends all calls and connections; later calls are not made. */
  close(): void {
    this.isClosed = true;
    this.budget.close();
    this.listBudget.close();
    this.client.close();
  }

  private async readPage(after: string): Promise<MachinePage | null> {
    const path = machineListPath(after);
    for (let attemptsLeft = after === '' ? 1 : PAGE_ATTEMPTS; attemptsLeft > 0; attemptsLeft--) {
      await this.listBudget.take();
      const response = await this.get(path);
      const page = this.parse(response, 'machine list', parseMachineList);
      if (page || response?.status === 200) return page;
    }
    return null;
  }

  private async get(path: string): Promise<ServiceResponse | null> {
    await this.budget.take();
    if (this.isClosed) return null;
    return decodeServiceResponse(await this.client.call({ method: 'GET', path, timeoutMs: TIMEOUT_MS }));
  }

  private async post(path: string, body: unknown): Promise<ServiceResponse | null> {
    await this.budget.take();
    if (this.isClosed) return null;
    return decodeServiceResponse(await this.client.call({ method: 'POST', path, body: pack(body), timeoutMs: TIMEOUT_MS }));
  }

  private parse<T>(response: ServiceResponse | null, contentName: string, parse: (body: MessagePackMap) => T | null): T | null {
    return readResponse(response, parse, () => this.unreadable$.next(contentName));
  }
}
