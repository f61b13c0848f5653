/**
 * Return of shards to their preferred holders: a shard that another controller took over goes back once its preferred holder is
 * fit again and holds nothing.
 *
 * Owns since when each preferred holder has been waiting, and since when each shard has been settled.
 */
import { LEADER_LEASE, type LeaseName, type SettingsView, type ShardHealth } from '../context/index.js';
import { type Milliseconds, shiftTimes } from '../model/index.js';
import type { HolderSelection } from './holder-selection.js';
import type { PauseListener } from './process-pause.js';

/** A shard is returned when it has been settled for this long. */
const MIN_SETTLED_MS = 4000;

/** A shard that doesn't settle is returned all the same when its preferred holder has waited for this long. */
const MAX_UNSETTLED_MS = 60_000;

/** Chooses the shard that is to be returned next. */
export class ShardReturn implements PauseListener {
  /** since when a preferred holder has been fit and without leases, by its name */
  private readonly preferredHolderIdleSince = new Map<string, Milliseconds>();
  private readonly settledSince = new Map<number, Milliseconds>();

  constructor(
    private readonly context: SettingsView & ShardHealth,
    private readonly holderSelection: HolderSelection,
  ) {}

  processPaused(pausedMs: Milliseconds): void {
    shiftTimes(this.preferredHolderIdleSince, pausedMs);
    shiftTimes(this.settledSince, pausedMs);
  }

  /** The first of the held shards that is to be returned; null: none is. `releasingLeases`: leases that are being released already. */
  nextShard(held: Iterable<LeaseName>, releasingLeases: ReadonlySet<LeaseName>, now: Milliseconds): number | null {
    for (const lease of held) {
      if (lease === LEADER_LEASE || releasingLeases.has(lease)) continue;
      if (this.isDue(lease, now)) {
        this.settledSince.delete(lease);
        return lease;
      }
    }
    return null;
  }

  private isDue(shard: number, now: Milliseconds): boolean {
    const holder = this.holderSelection.preferredHolder(shard);
    if (holder === this.context.settings.name) return false;
    if (!this.holderSelection.canHoldShards(holder, now) || !this.holderSelection.holdsNoLease(holder)) {
      this.preferredHolderIdleSince.delete(holder);
      return false;
    }
    const idleSince = this.preferredHolderIdleSince.get(holder) ?? now;
    this.preferredHolderIdleSince.set(holder, idleSince);
    const isSettled = this.isSettledLongEnough(shard, now);
    return isSettled || now - idleSince >= MAX_UNSETTLED_MS;
  }

  /**
   * A change of holder stops starts until all machines have answered anew: so a shard that hasn't recovered from the last one,
   * or from a network partition, isn't handed over.
   */
  private isSettledLongEnough(shard: number, now: Milliseconds): boolean {
    if (!this.context.isShardSettled(shard)) {
      this.settledSince.delete(shard);
      return false;
    }
    const since = this.settledSince.get(shard) ?? now;
    this.settledSince.set(shard, since);
    return now - since >= MIN_SETTLED_MS;
  }
}
