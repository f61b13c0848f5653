// Troubles that meet in a walk, and what undoes each of them.
import type { SimulatedCluster } from '../simulation/index.js';
import type { Random } from './random.js';

export const FAULTS = [
  'outage',
  'refused',
  'crash',
  'crash all',
  'bounce',
  'freeze',
  'hang',
  'deaf',
  'mute',
  'commands lost',
  'commands late',
  'zone cut',
  'peers cut',
  'alone with its workers',
  'lost answers',
  'late writes',
  'slow answers',
  'watch lags',
  'late reports',
  'cloud down',
  'machine dies',
  'machines begin again',
  'cancel now',
] as const;
export type Fault = (typeof FAULTS)[number];

/** Most copies of reports that are kept for the next holder. */
const COPIES_KEPT = 200;

export class FaultInjector {
  /** what undoes each trouble under way */
  private readonly undo: { at: number; run: () => void }[] = [];
  private copies: 'none' | 'late' | 'for the next leader' = 'none';
  private readonly kept: (() => void)[] = [];
  private holders = '';

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly random: Random,
    /** users call off what they submitted lately */
    private readonly cancelNow: () => void,
  ) {
    this.cluster.onHeartbeat = (heartbeat) => {
      if (this.copies === 'none' || this.random.next() > 0.2) return;
      const copy = structuredClone(heartbeat);
      const send = () => {
        for (const node of this.cluster.controllers) if (node.up) node.receiveHeartbeat(copy, () => {});
      };
      if (this.copies === 'late') this.cluster.at(this.cluster.now + 2000 + 20_000 * this.random.next(), send);
      else if (this.kept.length < COPIES_KEPT) this.kept.push(send);
    };
  }

  /** What is over by now is undone; a copy that was kept comes just as a new holder begins. */
  step(): void {
    const due = this.undo.filter((u) => u.at <= this.cluster.now);
    for (const u of due) {
      this.undo.splice(this.undo.indexOf(u), 1);
      u.run();
    }
    if (this.kept.length === 0) return;
    const holders = JSON.stringify(this.cluster.controllers.map((node) => [...node.controller.shardLeases.heldLeases]));
    if (holders !== this.holders) for (const send of this.kept.splice(0)) send();
    this.holders = holders;
  }

  /** All troubles are over. */
  end(): void {
    for (const u of this.undo.splice(0)) u.run();
    for (const node of this.cluster.controllers) {
      if (!node.up) node.restart();
      if (node.isPaused) node.resume();
    }
    for (const worker of this.cluster.workers) worker.hung = false;
    this.cluster.note('the troubles are over');
  }

  private after(seconds: number, run: () => void): void {
    this.undo.push({ at: this.cluster.now + seconds * 1000, run });
  }

  /** One of them begins, for so many seconds. */
  begin(kind: Fault, s: number): void {
    const { cluster } = this;
    const node = this.random.pick(cluster.controllers);
    const live = cluster.workers.filter((worker) => !worker.dead);
    const some = new Set(live.filter(() => this.random.next() < 0.3).map((worker) => worker.name));
    cluster.note(`${kind} for ${s.toFixed(1)} s (${node.name})`);
    const isNode = (x: string) => x.startsWith('n');
    switch (kind) {
      case 'outage':
        cluster.isStateServiceDown = true;
        return this.after(s, () => {
          cluster.isStateServiceDown = false;
        });
      case 'refused':
        node.isRefusedByStateService = true;
        return this.after(s, () => {
          node.isRefusedByStateService = false;
        });
      case 'crash':
      case 'bounce':
        if (!node.up) return;
        node.crash();
        return this.after(kind === 'bounce' ? 0.3 : Math.min(s, 6), () => {
          if (!node.up) node.restart();
        });
      case 'crash all':
        for (const node of cluster.controllers) if (node.up) node.crash();
        for (const node of cluster.controllers)
          this.after(0.2 + 4 * this.random.next(), () => (node.up ? undefined : node.restart()));
        return;
      case 'freeze':
        if (!node.up || node.isPaused) return;
        node.pause();
        return this.after(s, () => {
          if (node.up && node.isPaused) node.resume(this.random.next() < 0.3);
        });
      case 'hang': {
        const worker = this.random.pick(live);
        worker.hung = true;
        return this.after(Math.min(s, 11) * this.random.next() + 1, () => {
          worker.hung = false;
        });
      }
      case 'deaf':
        cluster.isDeaf = (_n, m) => some.has(m);
        return this.after(s, () => {
          cluster.isDeaf = () => false;
        });
      case 'mute':
        cluster.isMute = (m) => some.has(m);
        return this.after(s, () => {
          cluster.isMute = () => false;
        });
      case 'commands lost':
      case 'commands late':
        cluster.losesCommands = (_n, m) => some.has(m);
        if (kind === 'commands late') cluster.lateCommandDelayMs = () => 1000 + 30_000 * this.random.next();
        return this.after(s, () => {
          cluster.losesCommands = () => false;
          cluster.lateCommandDelayMs = null;
        });
      case 'zone cut': {
        const west = (x: string) => x === 'n1' || cluster.worker(x)?.zone === 'west';
        cluster.isPartitioned = (a, b) => west(a) !== west(b);
        return this.after(s, () => {
          cluster.isPartitioned = () => false;
        });
      }
      case 'peers cut':
      case 'alone with its workers':
        cluster.isPartitioned = (a, b) => isNode(a) && isNode(b) && (a === node.name || b === node.name);
        if (kind === 'alone with its workers') node.isRefusedByStateService = true;
        return this.after(s, () => {
          cluster.isPartitioned = () => false;
          if (kind === 'alone with its workers') node.isRefusedByStateService = false;
        });
      case 'lost answers':
      case 'late writes':
        cluster.losesTransactionAnswer = (_e, apply) => {
          if (this.random.next() > 0.3) return false;
          if (kind === 'lost answers') apply();
          else cluster.at(cluster.now + 2000 + 10_000 * this.random.next(), apply);
          return true;
        };
        return this.after(s, () => {
          cluster.losesTransactionAnswer = null;
        });
      case 'slow answers':
        cluster.transactionAnswerMs = () => 10 + 1300 * this.random.next();
        return this.after(s, () => {
          cluster.transactionAnswerMs = () => 10;
        });
      case 'watch lags':
        node.isWatchLagging = true;
        return this.after(Math.min(s, 6), () => {
          node.isWatchLagging = false;
        });
      case 'late reports':
        this.copies = this.random.next() < 0.5 ? 'late' : 'for the next leader';
        return this.after(s, () => {
          this.copies = 'none';
        });
      case 'cloud down':
        cluster.isCloudDown = true;
        return this.after(s, () => {
          cluster.isCloudDown = false;
        });
      case 'machine dies': {
        const worker = this.random.pick(live);
        worker.dead = true;
        worker.tasks.clear();
        return;
      }
      case 'machines begin again':
        for (const worker of live) if (some.has(worker.name) && !worker.hung) worker.reboot();
        return;
      case 'cancel now':
        this.cancelNow();
    }
  }
}
