/** Fault injection for randomized simulations: the kinds of faults, and how each begins and ends. */
import type { SimulatedCluster } from '../simulation/index.js';
import type { Random } from './random.js';

/** The kinds of faults, as they are named in traces. */
export const FAULTS = [
  'outage',
  'state service refuses',
  'crash',
  'crash all',
  'quick restart',
  'pause',
  'machine hangs',
  'controller messages lost',
  'heartbeats lost',
  'commands lost',
  'commands late',
  'zone partitioned',
  'peers partitioned',
  'isolated with its workers',
  'transaction responses lost',
  'late writes',
  'transaction responses slow',
  'watch lags',
  'late heartbeats',
  'cloud down',
  'machine dies',
  'machines reboot',
  'cancel recent jobs',
] as const;

/** One kind of fault. */
export type Fault = (typeof FAULTS)[number];

/** Maximum number of heartbeat copies kept for the next lease holder. */
const MAX_KEPT_COPIES = 200;

/** Begins faults, and ends each after its duration. */
export class FaultInjector {
  /** actions that end the active faults, and when each is due */
  private readonly pendingUndos: { at: number; run: () => void }[] = [];
  private copies: 'none' | 'late' | 'for the next lease holder' = 'none';
  private readonly keptCopies: (() => void)[] = [];
  private lastHolders = '';

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly random: Random,
    /** cancels the jobs that users submitted recently */
    private readonly cancelRecentJobs: () => void,
  ) {
    this.cluster.onHeartbeat = (heartbeat) => {
      if (this.copies === 'none' || this.random.next() > 0.2) return;
      const copy = structuredClone(heartbeat);
      const send = () => {
        for (const node of this.cluster.controllers) if (node.up) node.receiveHeartbeat(copy, () => {});
      };
      if (this.copies === 'late') this.cluster.runAt(this.cluster.now + 2000 + 20_000 * this.random.next(), send);
      else if (this.keptCopies.length < MAX_KEPT_COPIES) this.keptCopies.push(send);
    };
  }

  /** Ends the faults that are due. When a shard gets a new lease holder, delivers the kept heartbeat copies. */
  step(): void {
    const due = this.pendingUndos.filter((pending) => pending.at <= this.cluster.now);
    for (const pending of due) {
      this.pendingUndos.splice(this.pendingUndos.indexOf(pending), 1);
      pending.run();
    }
    if (this.keptCopies.length === 0) return;
    const holders = JSON.stringify(this.cluster.controllers.map((node) => [...node.controller.shardLeases.heldLeases]));
    if (holders !== this.lastHolders) for (const send of this.keptCopies.splice(0)) send();
    this.lastHolders = holders;
  }

  /** Ends all faults. */
  end(): void {
    for (const pending of this.pendingUndos.splice(0)) pending.run();
    for (const node of this.cluster.controllers) {
      if (!node.up) node.restart();
      if (node.isPaused) node.resume();
    }
    for (const worker of this.cluster.workers) worker.hung = false;
    this.cluster.note('all faults are over');
  }

  private undoAfter(seconds: number, run: () => void): void {
    this.pendingUndos.push({ at: this.cluster.now + seconds * 1000, run });
  }

  /** Begins a fault and schedules its end. Some kinds have a duration other than `seconds`, or no end. */
  begin(kind: Fault, seconds: number): void {
    const { cluster } = this;
    const node = this.random.pick(cluster.controllers);
    const live = cluster.workers.filter((worker) => !worker.dead);
    const affected = new Set(live.filter(() => this.random.next() < 0.3).map((worker) => worker.name));
    cluster.note(`${kind} for ${seconds.toFixed(1)} s (${node.name})`);
    const isController = (name: string) => name.startsWith('n');
    switch (kind) {
      case 'outage':
        cluster.isStateServiceDown = true;
        return this.undoAfter(seconds, () => {
          cluster.isStateServiceDown = false;
        });
      case 'state service refuses':
        node.isRefusedByStateService = true;
        return this.undoAfter(seconds, () => {
          node.isRefusedByStateService = false;
        });
      case 'crash':
      case 'quick restart':
        if (!node.up) return;
        node.crash();
        return this.undoAfter(kind === 'quick restart' ? 0.3 : Math.min(seconds, 6), () => {
          if (!node.up) node.restart();
        });
      case 'crash all':
        for (const node of cluster.controllers) if (node.up) node.crash();
        for (const node of cluster.controllers)
          this.undoAfter(0.2 + 4 * this.random.next(), () => (node.up ? undefined : node.restart()));
        return;
      case 'pause':
        if (!node.up || node.isPaused) return;
        node.pause();
        return this.undoAfter(seconds, () => {
          if (node.up && node.isPaused) node.resume(this.random.next() < 0.3);
        });
      case 'machine hangs': {
        const worker = this.random.pick(live);
        worker.hung = true;
        return this.undoAfter(Math.min(seconds, 11) * this.random.next() + 1, () => {
          worker.hung = false;
        });
      }
      case 'controller messages lost':
        cluster.losesControllerMessages = (_controller, machine) => affected.has(machine);
        return this.undoAfter(seconds, () => {
          cluster.losesControllerMessages = () => false;
        });
      case 'heartbeats lost':
        cluster.losesHeartbeats = (machine) => affected.has(machine);
        return this.undoAfter(seconds, () => {
          cluster.losesHeartbeats = () => false;
        });
      case 'commands lost':
      case 'commands late':
        cluster.losesCommands = (_controller, machine) => affected.has(machine);
        if (kind === 'commands late') cluster.lateCommandDelayMs = () => 1000 + 30_000 * this.random.next();
        return this.undoAfter(seconds, () => {
          cluster.losesCommands = () => false;
          cluster.lateCommandDelayMs = null;
        });
      case 'zone partitioned': {
        const isWest = (name: string) => name === 'n1' || cluster.worker(name)?.zone === 'west';
        cluster.isPartitioned = (a, b) => isWest(a) !== isWest(b);
        return this.undoAfter(seconds, () => {
          cluster.isPartitioned = () => false;
        });
      }
      case 'peers partitioned':
      case 'isolated with its workers':
        cluster.isPartitioned = (a, b) => isController(a) && isController(b) && (a === node.name || b === node.name);
        if (kind === 'isolated with its workers') node.isRefusedByStateService = true;
        return this.undoAfter(seconds, () => {
          cluster.isPartitioned = () => false;
          if (kind === 'isolated with its workers') node.isRefusedByStateService = false;
        });
      case 'transaction responses lost':
      case 'late writes':
        cluster.losesTransactionResponse = (_transaction, apply) => {
          if (this.random.next() > 0.3) return false;
          if (kind === 'transaction responses lost') apply();
          else cluster.runAt(cluster.now + 2000 + 10_000 * this.random.next(), apply);
          return true;
        };
        return this.undoAfter(seconds, () => {
          cluster.losesTransactionResponse = null;
        });
      case 'transaction responses slow':
        cluster.transactionResponseMs = () => 10 + 1300 * this.random.next();
        return this.undoAfter(seconds, () => {
          cluster.transactionResponseMs = () => 10;
        });
      case 'watch lags':
        node.isWatchLagging = true;
        return this.undoAfter(Math.min(seconds, 6), () => {
          node.isWatchLagging = false;
        });
      case 'late heartbeats':
        this.copies = this.random.next() < 0.5 ? 'late' : 'for the next lease holder';
        return this.undoAfter(seconds, () => {
          this.copies = 'none';
        });
      case 'cloud down':
        cluster.isCloudDown = true;
        return this.undoAfter(seconds, () => {
          cluster.isCloudDown = false;
        });
      case 'machine dies': {
        const worker = this.random.pick(live);
        worker.dead = true;
        worker.tasks.clear();
        return;
      }
      case 'machines reboot':
        for (const worker of live) if (affected.has(worker.name) && !worker.hung) worker.reboot();
        return;
      case 'cancel recent jobs':
        this.cancelRecentJobs();
    }
  }
}
