import { Budget, Client, steady } from '@archpost/http-client';
import {
  encodeProvisioningRequest,
  encodeReleaseRequest,
  type ListedMachine,
  MAX_MACHINES_PER_LIST,
  type MachineType,
  PATHS,
  type ProvisioningRequest,
  pack,
  parseMachineList,
  parseMachineTypes,
  parseProvisionedMachines,
  readResponse,
  type ServiceResponse,
  unpackMap,
} from '@archpost/protocol';
import { Subject } from 'rxjs';

/** Connections to the cloud. */
export const CLOUD_SOCKETS = 6;

/** Part of this controller's requests that pages of lists may take. */
const LIST_SHARE = 0.5;

/** A page after the first is asked for so often before the list is given up. */
const PAGE_ATTEMPTS = 3;

export type ProvisioningOutcome = { kind: 'ok'; machines: string[] } | { kind: 'full' | 'unknown' };

/** The cloud that rents out machines, within this controller's part of its request limit. */
export class CloudClient {
  private readonly client: Client;
  private readonly budget: Budget;
  /** pages of lists take a part only: rentals and returns need the rest */
  private readonly listBudget: Budget;
  readonly unreadable$ = new Subject<string>();

  constructor(address: string, requestsPerS: number) {
    this.client = new Client(address, CLOUD_SOCKETS);
    this.budget = new Budget(requestsPerS, steady);
    this.listBudget = new Budget(requestsPerS * LIST_SHARE, steady);
  }

  close(): void {
    this.client.close();
  }

  private async call(method: 'GET' | 'POST', path: string, body?: unknown): Promise<ServiceResponse> {
    await this.budget.take();
    const outcome = await this.client.call(
      body === undefined ? { method, path, timeoutMs: 3000 } : { method, path, body: pack(body), timeoutMs: 3000 },
    );
    return outcome.kind === 'answer' ? { status: outcome.status, body: unpackMap(outcome.body) } : { status: 0, body: null };
  }

  async fetchMachineTypes(): Promise<MachineType[] | null> {
    const response = await this.call('GET', PATHS.machineTypes);
    return this.parse(response, 'machine types', parseMachineTypes);
  }

  private parse<T>(answer: ServiceResponse, what: string, parse: (body: Record<string, unknown>) => T | null): T | null {
    return readResponse(answer, parse, () => this.unreadable$.next(what));
  }

  async listMachines(): Promise<ListedMachine[] | null> {
    const result: ListedMachine[] = [];
    let since = '';
    for (;;) {
      const page = await this.readPage(since);
      if (!page) return null;
      result.push(...page.machines);
      if (!page.more || page.machines.length === 0) return result;
      since = page.machines[page.machines.length - 1]?.machine ?? '';
    }
  }

  /** A page of the list; a later one is asked for again, since all that came before it would be lost. */
  private async readPage(since: string): Promise<ReturnType<typeof parseMachineList>> {
    const path = `${PATHS.machines}?${since === '' ? '' : `since=${since}&`}most=${MAX_MACHINES_PER_LIST}`;
    for (let attemptsLeft = since === '' ? 1 : PAGE_ATTEMPTS; attemptsLeft > 0; attemptsLeft--) {
      await this.listBudget.take();
      const answer = await this.call('GET', path);
      const page = this.parse(answer, 'machine list', parseMachineList);
      if (page || answer.status === 200) return page;
    }
    return null;
  }

  /**
   * Rents under a name that is never used again. Without an answer the name is asked for
   * once more: if the first request was carried out, the same answer comes back.
   */
  async provision(request: ProvisioningRequest): Promise<ProvisioningOutcome> {
    for (let attempt = 0; attempt < 3; attempt++) {
      const response = await this.call('POST', PATHS.machines, encodeProvisioningRequest(request));
      const error = response.body?.error;
      if (response.status === 200 && response.body)
        return { kind: 'ok', machines: parseProvisionedMachines(response.body) ?? [] };
      if (response.status === 503 && error === 'no capacity') return { kind: 'full' };
      if (response.status === 400) return { kind: 'full' };
    }
    return { kind: 'unknown' };
  }

  /** True once the machines and everything on them are gone. */
  async releaseMachines(machines: string[]): Promise<boolean> {
    const response = await this.call('POST', PATHS.machinesRelease, encodeReleaseRequest(machines));
    return response.status === 200;
  }
}
