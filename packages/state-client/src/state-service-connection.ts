/** Requests to the state service, over the connections and the request budget that the client's components share. */
import { type CallOutcome, HttpClient, monotonicMs, RequestBudget } from '@archpost/http-client';
import { decodeServiceResponse, type MessagePackMap, readResponse, type ServiceResponse } from '@archpost/protocol';
import { Subject } from 'rxjs';

/** Maximum number of connections to the state service: for watch, read barrier, lease, transactions, and calls that hang. */
export const STATE_SOCKETS = 16;

/** Owns the connections. `close` ends them, and no call is made afterwards. */
export class StateServiceConnection {
  /** Emits the name of a content that could not be parsed, such as `keys`, although the response had status 200. */
  readonly unreadable$ = new Subject<string>();
  /** Callers take a token before each request. */
  readonly budget: RequestBudget;
  private readonly client: HttpClient;
  private isClosed = false;

  constructor(address: string, requestsPerS: number) {
    this.client = new HttpClient(address, STATE_SOCKETS);
    this.budget = new RequestBudget(requestsPerS, monotonicMs);
  }

  /** Sends a GET request. Resolves with null if there is no response. */
  async get(path: string, timeoutMs: number): Promise<ServiceResponse | null> {
    if (this.isClosed) return null;
    return decodeServiceResponse(await this.client.call({ method: 'GET', path, timeoutMs }));
  }

  /** Sends a POST request. Resolves with its outcome and does not reject. */
  async post(path: string, body: Buffer, timeoutMs: number): Promise<CallOutcome> {
    if (this.isClosed) return { kind: 'notSent', isOwnDelay: true };
    return this.client.call({ method: 'POST', path, body, timeoutMs });
  }

  /** Parses the body of a response with status 200; otherwise returns null. Emits `contentName` if the body cannot be parsed. */
  parse<T>(response: ServiceResponse | null, contentName: string, parse: (body: MessagePackMap) => T | null): T | null {
    return readResponse(response, parse, () => this.unreadable$.next(contentName));
  }

  /** Ends all calls and all waits for the budget. Later calls are not sent. */
  close(): void {
    this.isClosed = true;
    this.budget.close();
    this.client.close();
  }
}
