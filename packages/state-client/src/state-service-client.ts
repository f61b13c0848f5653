/** The client of the state service: one lease, reads for a replica, and transactions. */
import type { CompareAndSwapOutcome, KeyWrite, RevisionCondition } from '@archpost/protocol';
import type { Observable } from 'rxjs';
import { compareAndSwap } from './compare-and-swap.js';
import { LeaseRenewer, type LeaseState } from './lease-renewer.js';
import { type ReplicaChanges, ReplicaReader, type Snapshot } from './replica-reader.js';
import { StateServiceConnection } from './state-service-connection.js';

/** The address of the service, the keys to read, the request limit and the lease. */
export interface StateServiceClientOptions {
  /** `IP:port` */
  address: string;
  /** prefix of the keys to read */
  keyPrefix: string;
  /** this controller's share of the service's request limit */
  requestsPerS: number;
  /** duration of the lease without a renewal, in milliseconds */
  leaseMs: number;
  /** maximum fraction by which this machine's clock may run faster or slower than the service's */
  clockDrift: number;
}

/** A client whose components share its connections and one request budget. */
export class StateServiceClient {
  readonly snapshot$: Observable<Snapshot>;
  readonly changes$: Observable<ReplicaChanges>;
  readonly lease$: Observable<LeaseState>;
  /** Emits the name of a content that could not be parsed, such as `keys`, although the response had status 200. */
  readonly unreadable$: Observable<string>;
  private readonly connection: StateServiceConnection;
  private readonly leaseRenewer: LeaseRenewer;
  private readonly replicaReader: ReplicaReader;

  constructor({ address, keyPrefix, requestsPerS, leaseMs, clockDrift }: StateServiceClientOptions) {
    this.connection = new StateServiceConnection(address, requestsPerS);
    this.leaseRenewer = new LeaseRenewer(this.connection, leaseMs, clockDrift);
    this.replicaReader = new ReplicaReader(this.connection, keyPrefix, requestsPerS);
    this.snapshot$ = this.replicaReader.snapshot$;
    this.changes$ = this.replicaReader.changes$;
    this.lease$ = this.leaseRenewer.lease$;
    this.unreadable$ = this.connection.unreadable$;
  }

  /** Starts the loops that renew the lease and read keys. */
  start(): void {
    this.leaseRenewer.start();
    this.replicaReader.start();
  }

  /** Requests a read of the changes that begins after this call; see ReplicaReader. */
  requestReadBarrier(isUrgent: boolean): void {
    this.replicaReader.requestReadBarrier(isUrgent);
  }

  /** Applies all writes if all conditions hold, and none otherwise. A failed call is an outcome; the promise does not reject. */
  compareAndSwap(conditions: RevisionCondition[], writes: KeyWrite[]): Promise<CompareAndSwapOutcome> {
    return compareAndSwap(this.connection, conditions, writes);
  }

  /** Ends all loops, timers, calls and connections. The lease is not revoked; it expires. */
  close(): void {
    this.leaseRenewer.close();
    this.replicaReader.close();
    this.connection.close();
  }
}
