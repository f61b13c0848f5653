/** The transactions that were sent and have no outcome yet. Owns their ids, and the set of keys that they write. */
import type { QueuedWrite } from './write-queue.js';

/** A transaction that was sent. */
export interface SentTransaction {
  writes: readonly QueuedWrite[];
  /** this controller's lease on the state service when the transaction was sent; null: it had none */
  leaseId: number | null;
}

/** Transactions by id. No two of them write the same key. */
export class TransactionsInFlight {
  private readonly transactions = new Map<number, SentTransaction>();
  private readonly keys = new Set<string>();
  private nextId = 1;

  get count(): number {
    return this.transactions.size;
  }

  /** Whether one of the transactions writes this key. */
  writesKey(key: string): boolean {
    return this.keys.has(key);
  }

  /** Adds a transaction and returns its id. */
  add(transaction: SentTransaction): number {
    const id = this.nextId++;
    this.transactions.set(id, transaction);
    for (const write of transaction.writes) this.keys.add(write.key);
    return id;
  }

  /** Removes and returns the transaction with this id, when its outcome has arrived; null if there is none. */
  take(id: number): SentTransaction | null {
    const transaction = this.transactions.get(id);
    if (!transaction) return null;
    this.transactions.delete(id);
    for (const write of transaction.writes) this.keys.delete(write.key);
    return transaction;
  }
}
