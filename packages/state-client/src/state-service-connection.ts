/** Requests to the state service, on the connections and the request budget that all parts of the client use. */
import { type CallOutcome, HttpClient, monotonicMs, RequestBudget } from '@archpost/http-client';
import { decodeServiceResponse, type MessagePackMap, readResponse, type ServiceResponse } from '@archpost/protocol';
import { Subject } from 'rxjs';

/** Connections to the state service: watch, read barrier, lease, transactions, and calls that hang. */
export const STATE_SOCKETS = 16;

/** Owns the connections: `close` ends them, and no call is made after it. */
export class StateServiceConnection {
  /** What could not be parsed though the response had status 200. */
  readonly unreadable$ = new Subject<string>();
  /** Callers take from it before each request. */
  readonly budget: RequestBudget;
  private readonly client: HttpClient;
  private isClosed = false;

  constructor(address: string, requestsPerS: number) {
    this.client = new HttpClient(address, STATE_SOCKETS);
    this.budget = new RequestBudget(requestsPerS, monotonicMs);
  }

  /** The response; null if there is none. */
  async get(path: string, timeoutMs: number): Promise<ServiceResponse | null> {
    if (this.isClosed) return null;
    return decodeServiceResponse(await this.client.call({ method: 'GET', path, timeoutMs }));
  }

  /** The outcome of a POST request; it does not reject. */
  async post(path: string, body: Buffer, timeoutMs: number): Promise<CallOutcome> {
    if (this.isClosed) return { kind: 'notSent', isOwnDelay: true };
    return this.client.call({ method: 'POST', path, body, timeoutMs });
  }

  /** The parsed body of a response with status 200; null if there is none, or if it can not be parsed, which is emitted. */
  parse<T>(response: ServiceResponse | null, contentName: string, parse: (body: MessagePackMap) => T | null): T | null {
    return readResponse(response, parse, () => this.unreadable$.next(contentName));
  }

  /** Ends all calls, and waits for the budget; later calls are not made. */
  close(): void {
    this.isClosed = true;
    this.budget.close();
    this.client.close();
  }
}
