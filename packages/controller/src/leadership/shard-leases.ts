import type {
  ClusterStateView,
  IncarnationView,
  LeaseListener,
  LeaseView,
  Logger,
  PeerDirectory,
  ReplicaView,
  SettingsView,
  ShardHealth,
  StateFreshness,
  StateWriting,
} from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { encodeHolder, encodePresence, isPresenceOf, StateKey, WritePriority } from '../state/index.js';

/** A share goes home when it has been at rest for this long. */
const SETTLED_MS = 4000;

/** A share that doesn't come to rest goes home after this long all the same. */
const UNSETTLED_MS = 60_000;

/** What the shard leases needs of its controller. */
type ShardLeasesContext = SettingsView &
  ClusterStateView &
  ReplicaView &
  StateWriting &
  StateFreshness &
  LeaseView &
  IncarnationView &
  LeaseListener &
  ShardHealth &
  PeerDirectory &
  Logger;

/**
 * Who holds which share, and the lead. A key per holding names its holder and is attached
 * to the holder's state lease: it disappears when the lease does. Each restart writes its
 * own keys anew (same node, other boot), so that the token rises and nothing that the dead
 * process left under way is obeyed; other nodes wait until the key is gone.
 */
export class ShardLeases {
  private readonly absentSince = new Map<string, Milliseconds>();
  private readonly writing = new Set<string>();
  private readonly claiming = new Set<string>();
  /** stamp under which each holding is ours */
  readonly heldLeases = new Map<string, number>();
  private releasing = new Set<string>();
  private readonly preferredHolderSeenAt = new Map<string, Milliseconds>();
  private readonly settledSince = new Map<string, Milliseconds>();

  constructor(private readonly context: ShardLeasesContext) {}

  /**
   * A holding is acted for only while the lease surely stands, and no more once its release has been
   * queued: that may be carried out while its answer is late, and the next holder counts on nothing of
   * ours being started after its own claim.
   */
  mayActUnder(name: string, now: Milliseconds): boolean {
    return this.heldLeases.has(name) && !this.releasing.has(name) && this.context.isLeaseValid(now);
  }

  private preferredHolder(name: string): string {
    const nodes = this.context.settings.controllers;
    const index = name === 'lead' ? nodes.length - 1 : Number(name) % nodes.length;
    return nodes[index]?.name ?? this.context.settings.name;
  }

  leaseNames(): string[] {
    const result = ['lead'];
    for (let index = 0; index < this.context.settings.shardCount; index++) result.push(String(index));
    return result;
  }

  leaseChanged(name: string): void {
    const current = this.context.clusterState.leaseHolders.get(name);
    const self = this.context.settings.name;
    if (current && current.holder.controller === self && current.holder.incarnation === this.context.incarnation) {
      if (!this.heldLeases.has(name)) this.releasing.delete(name);
      if (this.heldLeases.get(name) !== current.revision) {
        this.heldLeases.set(name, current.revision);
        this.context.log('info', 'shard lease acquired', { lease: name, revision: current.revision });
        this.context.leaseAcquired(name, current.revision);
      }
    } else if (this.heldLeases.delete(name)) {
      this.releasing.delete(name);
      this.context.log('info', 'shard lease lost', { lease: name, to: current?.holder.controller ?? null });
      this.context.leaseLost(name);
    }
  }

  dropAll(): void {
    for (const name of [...this.heldLeases.keys()]) {
      this.heldLeases.delete(name);
      this.context.leaseLost(name);
    }
    this.releasing.clear();
  }

  /** Waiting for a holder to be gone starts where it was: its own time stood still. */
  processPaused(ms: Milliseconds): void {
    for (const list of [this.absentSince, this.preferredHolderSeenAt, this.settledSince])
      for (const [name, at] of list) list.set(name, at + ms);
  }

  tick(now: Milliseconds): void {
    const context = this.context;
    if (!context.replica.loaded || !context.isLeaseValid(now) || context.lease.id === null) return;
    const self = context.settings.name;
    if (!context.reachesWorkers()) this.releaseUnreachableShards(now);
    this.announcePresence(now);
    for (const name of this.leaseNames()) {
      const current = context.clusterState.leaseHolders.get(name);
      if (current) {
        this.absentSince.delete(name);
        // Ours from before a restart, or from before our lease seemed over (the service was
        // away for long, and kept it): taken anew, so that the token rises.
        if (current.holder.controller === self && !this.heldLeases.has(name)) this.claim(name, current.revision, now);
        continue;
      }
      if (this.heldLeases.has(name) || (name !== 'lead' && !context.reachesWorkers())) continue;
      const since = this.absentSince.get(name) ?? now;
      this.absentSince.set(name, since);
      // A live home node claims first; the others in turn, those with the least to hold first.
      const priority = context.settings.controllers.findIndex((controller) => controller.name === self);
      const home = this.preferredHolder(name);
      // What is being claimed counts as held, so that a lead and a share don't go to one together.
      const count = this.heldLeases.size + this.claiming.size;
      const wait = home === self ? 0 : (this.canHoldShards(home, now) ? 3000 : 200) + 400 * count + 150 * priority;
      if (now - since >= wait) this.claim(name, 0, now);
    }
    this.returnToPreferredHolder(now);
  }

  /** Shows the others that our lease stands, whether or not we hold anything. */
  private announcePresence(now: Milliseconds): void {
    const key = StateKey.presence(this.context.settings.name);
    const current = this.context.replica.get(key);
    if (this.writing.has(key) || (current && isPresenceOf(current.value, this.context.incarnation))) return;
    this.writing.add(key);
    this.context.writer.add({
      key,
      value: () => encodePresence(this.context.incarnation),
      expectedRevision: current?.revision ?? 0,
      attachedToLease: true,
      priority: WritePriority.release,
      expiresAt: now + 5000,
      onOutcome: () => this.writing.delete(key),
    });
  }

  private claim(name: string, condition: number, now: Milliseconds): void {
    const context = this.context;
    if (this.writing.has(name) || now - context.replicaFreshAt > 3000) return;
    this.writing.add(name);
    if (condition === 0) this.claiming.add(name);
    context.writer.add({
      key: StateKey.shardLease(name === 'lead' ? 'lead' : Number(name)),
      value: () => encodeHolder({ controller: context.settings.name, incarnation: context.incarnation }),
      expectedRevision: condition,
      attachedToLease: true,
      priority: WritePriority.shardLease,
      expiresAt: now + 5000,
      onOutcome: () => {
        this.writing.delete(name);
        this.claiming.delete(name);
      },
    });
  }

  /** Hands a share back to its home node once that is alive again and holds nothing. */
  private returnToPreferredHolder(now: Milliseconds): void {
    const context = this.context;
    for (const name of this.heldLeases.keys()) {
      const home = this.preferredHolder(name);
      if (name === 'lead' || home === context.settings.name || this.releasing.has(name)) continue;
      const idle =
        this.canHoldShards(home, now) &&
        ![...context.clusterState.leaseHolders.values()].some((lease) => lease.holder.controller === home);
      if (!idle) {
        this.preferredHolderSeenAt.delete(home);
        continue;
      }
      const since = this.preferredHolderSeenAt.get(home) ?? now;
      this.preferredHolderSeenAt.set(home, since);
      // A change of holder stops starts until all machines have answered anew: not while a share
      // is still finding its feet, after a cut say, unless that takes for ever.
      if (!context.isShardSettled(Number(name))) this.settledSince.delete(name);
      else if (!this.settledSince.has(name)) this.settledSince.set(name, now);
      const settled = this.settledSince.get(name);
      if (now - since < UNSETTLED_MS && (settled === undefined || now - settled < SETTLED_MS)) continue;
      this.settledSince.delete(name);
      context.log('info', 'returning shard to its preferred holder', { shard: name, to: home });
      this.release(name, now);
      return;
    }
  }

  private release(name: string, now: Milliseconds): void {
    this.releasing.add(name);
    this.context.writer.add({
      key: StateKey.shardLease(Number(name)),
      value: () => undefined,
      expectedRevision: this.heldLeases.get(name) ?? 0,
      priority: WritePriority.shardLease,
      expiresAt: now + 5000,
      onOutcome: (outcome) => {
        if (outcome !== 'ok') this.releasing.delete(name);
      },
    });
  }

  /** Is it seen to hold shares well: alive, with its lease and its workers? */
  private canHoldShards(controller: string, now: Milliseconds): boolean {
    const status = this.context.peers.get(controller)?.status;
    return (
      this.context.isPeerAlive(controller, now) &&
      status?.mayAnswerWorkers === true &&
      status.stateServiceAnswers &&
      status.reachesWorkers
    );
  }

  /** Our workers can't be reached from here: others take the shares over, if any is there to. */
  private releaseUnreachableShards(now: Milliseconds): void {
    if (
      !this.context.settings.controllers.some(
        (controller) => controller.name !== this.context.settings.name && this.canHoldShards(controller.name, now),
      )
    )
      return;
    for (const name of this.heldLeases.keys()) {
      if (name === 'lead' || this.releasing.has(name)) continue;
      this.context.log('info', 'releasing shard with unreachable workers', { shard: name });
      this.release(name, now);
    }
  }
}
