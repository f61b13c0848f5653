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
const PAGE_TRIES = 3;

export type RentOutcome = { kind: 'ok'; machines: string[] } | { kind: 'full' | 'unknown' };

/** The cloud that rents out machines, within this controller's part of its request limit. */
export class Cloud {
  private readonly client: Client;
  private readonly budget: Budget;
  /** pages of lists take a part only: rentals and returns need the rest */
  private readonly listBudget: Budget;
  readonly unreadable$ = new Subject<string>();

  constructor(address: string, rps: number) {
    this.client = new Client(address, CLOUD_SOCKETS);
    this.budget = new Budget(rps, steady);
    this.listBudget = new Budget(rps * LIST_SHARE, steady);
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

  async types(): Promise<MachineType[] | null> {
    const response = await this.call('GET', PATHS.machineTypes);
    return this.readable(response, 'machine types', parseMachineTypes);
  }

  private readable<T>(answer: ServiceResponse, what: string, parse: (body: Record<string, unknown>) => T | null): T | null {
    return readResponse(answer, parse, () => this.unreadable$.next(what));
  }

  async list(): Promise<ListedMachine[] | null> {
    const result: ListedMachine[] = [];
    let since = '';
    for (;;) {
      const page = await this.page(since);
      if (!page) return null;
      result.push(...page.machines);
      if (!page.more || page.machines.length === 0) return result;
      since = page.machines[page.machines.length - 1]?.machine ?? '';
    }
  }

  /** A page of the list; a later one is asked for again, since all that came before it would be lost. */
  private async page(since: string): Promise<ReturnType<typeof parseMachineList>> {
    const path = `${PATHS.machines}?${since === '' ? '' : `since=${since}&`}most=${MAX_MACHINES_PER_LIST}`;
    for (let tries = since === '' ? 1 : PAGE_TRIES; tries > 0; tries--) {
      await this.listBudget.take();
      const answer = await this.call('GET', path);
      const page = this.readable(answer, 'machine list', parseMachineList);
      if (page || answer.status === 200) return page;
    }
    return null;
  }

  /**
   * Rents under a name that is never used again. Without an answer the name is asked for
   * once more: if the first request was carried out, the same answer comes back.
   */
  async rent(rental: ProvisioningRequest): Promise<RentOutcome> {
    for (let tries = 0; tries < 3; tries++) {
      const response = await this.call('POST', PATHS.machines, encodeProvisioningRequest(rental));
      const error = response.body?.error;
      if (response.status === 200 && response.body)
        return { kind: 'ok', machines: parseProvisionedMachines(response.body) ?? [] };
      if (response.status === 503 && error === 'no capacity') return { kind: 'full' };
      if (response.status === 400) return { kind: 'full' };
    }
    return { kind: 'unknown' };
  }

  /** True once the machines and everything on them are gone. */
  async giveBack(machines: string[]): Promise<boolean> {
    const response = await this.call('POST', PATHS.machinesRelease, encodeReleaseRequest(machines));
    return response.status === 200;
  }
}
