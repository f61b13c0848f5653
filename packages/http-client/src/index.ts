import http from 'node:http';

export type Outcome =
  | { kind: 'answer'; status: number; body: Buffer }
  /** nothing left this machine: the request can't be carried out later */
  | { kind: 'refused' }
  /** no answer: it may have been carried out, or may be yet */
  | { kind: 'lost' };

export interface Call {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  body?: Buffer;
  timeoutMs: number;
}

export function splitAddr(address: string): { host: string; port: number } {
  const cut = address.lastIndexOf(':');
  return { host: address.slice(0, cut), port: Number(address.slice(cut + 1)) };
}

/** Timers that fire so much later than asked for: this process stood still, or had no processor. */
const LATE_MS = 250;

/** HTTP/1.1 to one address, on persistent connections, never pipelined. */
export class Client {
  private readonly agent: http.Agent;
  private readonly host: string;
  private readonly port: number;

  constructor(address: string, maxSockets: number) {
    const { host, port } = splitAddr(address);
    this.host = host;
    this.port = port;
    this.agent = new http.Agent({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets, scheduling: 'lifo' });
  }

  call(call: Call): Promise<Outcome> {
    return new Promise((resolve) => {
      let sent = false;
      let over = false;
      const finish = (outcome: Outcome) => {
        if (over) return;
        over = true;
        clearTimeout(timer);
        resolve(outcome);
      };
      const req = http.request({
        agent: this.agent,
        host: this.host,
        port: this.port,
        method: call.method,
        path: call.path,
        headers: call.body
          ? { 'content-type': 'application/msgpack', 'content-length': call.body.length }
          : { accept: 'application/msgpack' },
      });
      const fail = () => {
        finish(sent ? { kind: 'lost' } : { kind: 'refused' });
        req.destroy();
      };
      const due = steady() + call.timeoutMs;
      // A timer that fires late has been waited for by answers too: they are looked at first.
      let timer = setTimeout(() => {
        if (steady() - due > LATE_MS) timer = setTimeout(fail, LATE_MS);
        else fail();
      }, call.timeoutMs);
      req.on('socket', (socket) => {
        if (!socket.connecting) sent = true;
        else
          socket.once('connect', () => {
            // This process stood still while it connected: what it wanted to say is out of date.
            if (steady() > due) fail();
            else sent = true;
          });
      });
      req.on('error', fail);
      req.on('response', (res) => {
        const parts: Buffer[] = [];
        res.on('data', (chunk: Buffer) => parts.push(chunk));
        res.on('error', fail);
        res.on('aborted', fail);
        res.on('end', () =>
          finish({
            kind: 'answer',
            status: res.statusCode ?? 0,
            body: parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts),
          }),
        );
      });
      req.end(call.body);
    });
  }

  close(): void {
    this.agent.destroy();
  }
}

/** A request budget: so many a second, with a burst of one second's worth. */
export class Budget {
  private tokens: number;
  private at: number;

  constructor(
    private readonly perS: number,
    private readonly clock: () => number,
  ) {
    this.tokens = Math.max(1, perS);
    this.at = clock();
  }

  private refill(): void {
    const now = this.clock();
    this.tokens = Math.min(Math.max(1, this.perS), this.tokens + ((now - this.at) / 1000) * this.perS);
    this.at = now;
  }

  /** Takes one whatever is left: for what must not wait. */
  force(): void {
    this.refill();
    this.tokens -= 1;
  }

  tryTake(): boolean {
    this.refill();
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  async take(): Promise<void> {
    while (!this.tryTake()) await sleep(Math.max(5, ((1 - this.tokens) / this.perS) * 1000));
  }
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Milliseconds of the steady clock. */
export function steady(): number {
  return Number(process.hrtime.bigint() / 1000n) / 1000;
}
