/** The transactions that were sent and have no outcome yet. Owns their numbers, and the keys that they write. */
import type { QueuedWrite } from './write-queue.js';

/** A transaction that was sent. */
export interface SentTransaction {
  writes: readonly QueuedWrite[];
  /** our lease at the state service when it was sent; null: we had none */
  leaseId: number | null;
}

/** Transactions by their numbers. No two of them write the same key. */
export class TransactionsInFlight {
  private readonly transactions = new Map<number, SentTransaction>();
  private readonly keys = new Set<string>();
  private nextId = 1;

  get count(): number {
    return this.transactions.size;
  }

  /** Does one of them write this key? */
  writesKey(key: string): boolean {
    return this.keys.has(key);
  }

  /** Returns the transaction's number. */
  add(transaction: SentTransaction): number {
    const id = this.nextId++;
    this.transactions.set(id, transaction);
    for (const write of transaction.writes) this.keys.add(write.key);
    return id;
  }

  /** Removes a transaction whose outcome came; null if there is none with this number. */
  take(id: number): SentTransaction | null {
    const transaction = this.transactions.get(id);
    if (!transaction) return null;
    this.transactions.delete(id);
    for (const write of transaction.writes) this.keys.delete(write.key);
    return transaction;
  }
}
