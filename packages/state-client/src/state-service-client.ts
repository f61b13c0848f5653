/** The client of the state service: one lease, what a replica needs, and transactions. */
import type { CompareAndSwapOutcome, KeyWrite, RevisionCondition } from '@archpost/protocol';
import type { Observable } from 'rxjs';
import { compareAndSwap } from './compare-and-swap.js';
import { LeaseRenewer, type LeaseState } from './lease-renewer.js';
import { type ReplicaChanges, ReplicaReader, type Snapshot } from './replica-reader.js';
import { StateServiceConnection } from './state-service-connection.js';

/** The service, and what is read and kept there. */
export interface StateServiceClientOptions {
  /** `IP:port` */
  address: string;
  /** of the keys that are read */
  keyPrefix: string;
  /** this controller's part of the service's request limit */
  requestsPerS: number;
  /** the lease's time without a renewal, in milliseconds */
  leaseMs: number;
  /** part by which this machine's clock may run faster or slower than the service's */
  clockDrift: number;
}

/** Its parts use the same connections and one request budget. */
export class StateServiceClient {
  readonly snapshot$: Observable<Snapshot>;
  readonly changes$: Observable<ReplicaChanges>;
  readonly lease$: Observable<LeaseState>;
  /** What could not be parsed though the response had status 200. */
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

  /** Makes all changes if all conditions hold, and none otherwise. A call that fails is an outcome, not a rejection. */
  compareAndSwap(conditions: RevisionCondition[], writes: KeyWrite[]): Promise<CompareAndSwapOutcome> {
    return compareAndSwap(this.connection, conditions, writes);
  }

  /** Ends all loops, timers, calls and connections. The lease expires by itself. */
  close(): void {
    this.leaseRenewer.close();
    this.replicaReader.close();
    this.connection.close();
  }
}
