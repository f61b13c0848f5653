/** Calls to the cloud: read the machine types, list, provision and release machines. */
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

/** Maximum number of connections to the cloud. */
export const CLOUD_SOCKETS = 6;

const TIMEOUT_MS = 3000;

/** Fraction of the request budget that listing machines may use: provisioning and releasing need the rest. */
const LIST_BUDGET_FRACTION = 0.5;

/** Attempts to read each page after the first one, because a failure discards the pages that were already read. */
const PAGE_ATTEMPTS = 3;

const PROVISIONING_ATTEMPTS = 3;

/**
 * The outcome of a provisioning request. `ok`: these machines were provisioned, possibly fewer than requested.
 * `outOfCapacity`: no machine was provisioned. `unknown`: no attempt got a conclusive response; machines may have been
 * provisioned, or may still be provisioned.
 */
export type ProvisioningOutcome = { kind: 'ok'; machines: string[] } | { kind: 'outOfCapacity' | 'unknown' };

/** Owns the connections to the cloud. Calls wait for the request budget. */
export class CloudClient {
  /** Emits the name of a content that could not be parsed, such as `machine list`, although the response had status 200. */
  readonly unreadable$ = new Subject<string>();
  private readonly client: HttpClient;
  private readonly budget: RequestBudget;
  private readonly listBudget: RequestBudget;
  private isClosed = false;

  /** `requestsPerS`: this controller's share of the cloud's request limit. */
  constructor(address: string, requestsPerS: number) {
    this.client = new HttpClient(address, CLOUD_SOCKETS);
    this.budget = new RequestBudget(requestsPerS, monotonicMs);
    this.listBudget = new RequestBudget(requestsPerS * LIST_BUDGET_FRACTION, monotonicMs);
  }

  /** Reads the machine types. Resolves with null if the response is missing, is an error, or cannot be parsed. */
  async fetchMachineTypes(): Promise<MachineType[] | null> {
    const response = await this.get(PATHS.machineTypes);
    return this.parse(response, 'machine types', parseMachineTypes);
  }

  /** Lists all machines. Resolves with null if a page could not be read. Pages reflect different times, and all of them lag. */
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

  /** Provisions machines. Retries if there is no conclusive response: a repeated request gets the same machines. */
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

  /** Releases machines. Resolves with true once they and everything on them are gone; with false if this is unknown. */
  async releaseMachines(machines: string[]): Promise<boolean> {
    const response = await this.post(PATHS.machineReleases, encodeReleaseRequest(machines));
    return response?.status === 200;
  }

  /** Ends all calls and connections. Later calls are not sent. */
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
