import { Budget, Client, steady } from '@archpost/transport';
import {
  type Listed,
  type MachineType,
  PATHS,
  pack,
  parseListing,
  parseRented,
  parseTypes,
  type Rental,
  rentalBody,
  returnBody,
  unpackMap,
} from '@archpost/wire';

export type RentOutcome = { kind: 'ok'; machines: string[] } | { kind: 'full' | 'unknown' };

/** The cloud that rents out machines, within this controller's part of its request limit. */
export class Cloud {
  private readonly client: Client;
  private readonly budget: Budget;

  constructor(addr: string, rps: number) {
    this.client = new Client(addr, 6);
    this.budget = new Budget(rps, steady);
  }

  private async call(method: 'GET' | 'POST', path: string, body?: unknown) {
    await this.budget.take();
    const o = await this.client.call(
      body === undefined ? { method, path, timeoutMs: 3000 } : { method, path, body: pack(body), timeoutMs: 3000 },
    );
    return o.kind === 'answer' ? { status: o.status, body: unpackMap(o.body) } : { status: 0, body: null };
  }

  async types(): Promise<MachineType[] | null> {
    const r = await this.call('GET', PATHS.machineTypes);
    return r.status === 200 && r.body ? parseTypes(r.body) : null;
  }

  async list(): Promise<Listed[] | null> {
    const out: Listed[] = [];
    let since = '';
    for (;;) {
      const r = await this.call('GET', `${PATHS.machines}?${since === '' ? '' : `since=${since}&`}most=500`);
      const page = r.status === 200 && r.body ? parseListing(r.body) : null;
      if (!page) return null;
      out.push(...page.machines);
      if (!page.more || page.machines.length === 0) return out;
      since = page.machines[page.machines.length - 1]?.machine ?? '';
    }
  }

  /**
   * Rents under a name that is never used again. Without an answer the name is asked for
   * once more: if the first request was carried out, the same answer comes back.
   */
  async rent(rental: Rental): Promise<RentOutcome> {
    for (let tries = 0; tries < 3; tries++) {
      const r = await this.call('POST', PATHS.machines, rentalBody(rental));
      const error = r.body?.error;
      if (r.status === 200 && r.body) return { kind: 'ok', machines: parseRented(r.body) ?? [] };
      if (r.status === 503 && error === 'no capacity') return { kind: 'full' };
      if (r.status === 400) return { kind: 'full' };
    }
    return { kind: 'unknown' };
  }

  /** True once the machines and everything on them are gone. */
  async giveBack(machines: string[]): Promise<boolean> {
    const r = await this.call('POST', PATHS.machinesReturn, returnBody(machines));
    return r.status === 200;
  }
}
