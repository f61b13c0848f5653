/** Users of PROTOCOL: submit, query and cancel jobs at the controllers, and repeat what isn't answered. */
import { call, sleep } from './http.mjs';

const REPEAT_FOR_MS = 60_000;

export function job(ref, crew, fields = {}) {
  return {
    ref, jobclass: 'review', crew, shape: 'sweep', rank: 'standard', pieces: 1, cores: 1.0, accelerators: 0.0, memory_gb: 1.0,
    bundle: 'img-01', size_gb: 0.1, builds: null, yard: null, one_zone: false, spread: false, loaners: false,
    guess_s: 60.0, snapshot_s: 0.0, stow_s: 0.0, due_s: null, ...fields,
  };
}

export class Users {
  constructor(cloud, addresses, record) {
    Object.assign(this, { cloud, addresses, record });
    this.next = 0;
    /** by job: the status of the last response */
    this.accepted = new Map();
  }

  /** Submits a job as PROTOCOL says: repeats it for up to 60 s, at the next node each time. Resolves with the last status. */
  async submit(body, { isRecorded = true, repeatForMs = REPEAT_FOR_MS, agent } = {}) {
    this.cloud.jobs.set(body.ref, body);
    const until = performance.now() + repeatForMs;
    let status = null;
    do {
      const response = await call(this.address(), 'POST', '/v2/runs', body, { agent });
      status = response?.status ?? null;
      if (isRecorded) this.record.add(`user: submits ${body.ref}: ${status ?? 'no response'} ${JSON.stringify(response?.body ?? null)}`);
      if (status === 200 || status === 201) this.accepted.set(body.ref, performance.now());
      if (status !== null && [200, 201, 400, 422].includes(status)) return status;
      await sleep(1000);
    } while (performance.now() < until);
    return status;
  }

  async query(ref, address = this.address(), isRecorded = true) {
    const response = await call(address, 'GET', `/v2/runs/${ref}`, undefined, { timeoutMs: 2000 });
    if (isRecorded) this.record.add(`user: asks about ${ref}: ${response?.status ?? 'no response'} ${JSON.stringify(response?.body ?? null)}`);
    return response;
  }

  async cancel(ref) {
    const response = await call(this.address(), 'POST', `/v2/runs/${ref}/cancel`, {});
    this.record.add(`user: cancels ${ref}: ${response?.status ?? 'no response'} ${JSON.stringify(response?.body ?? null)}`);
    return response;
  }

  address() {
    return this.addresses[this.next++ % this.addresses.length];
  }
}
