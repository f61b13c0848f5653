/**
 * Return of shards to their preferred holders: a controller that took over a shard releases it once the shard's preferred holder
 * is fit again and holds no lease.
 *
 * Owns the time since which each preferred holder has been waiting, and the time since which each shard has been settled.
 */
import { LEADER_LEASE, type LeaseName, type SettingsView, type ShardHealth } from '../context/index.js';
import { type Milliseconds, shiftTimes } from '../model/index.js';
import type { HolderSelection } from './holder-selection.js';
import type { PauseListener } from './process-pause.js';

/** A shard is returned once it has been settled for this long. */
const MIN_SETTLED_MS = 4000;

/** A shard that doesn't settle is returned anyway once its preferred holder has waited for this long. */
const MAX_UNSETTLED_MS = 60_000;

/** Chooses the next shard to return. */
export class ShardReturn implements PauseListener {
  /** by controller name: since when the preferred holder has been fit and has held no lease */
  private readonly preferredHolderIdleSince = new Map<string, Milliseconds>();
  private readonly settledSince = new Map<number, Milliseconds>();

  constructor(
    private readonly context: SettingsView & ShardHealth,
    private readonly holderSelection: HolderSelection,
  ) {}

  onProcessPaused(pausedMs: Milliseconds): void {
    shiftTimes(this.preferredHolderIdleSince, pausedMs);
    shiftTimes(this.settledSince, pausedMs);
  }

  /**
   * Returns the first held shard that is due to be returned; null: none is. `releasingLeases`: leases whose release is pending.
   */
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
    const preferred = this.holderSelection.preferredHolder(shard);
    if (preferred === this.context.settings.name) return false;
    if (!this.holderSelection.canHoldShards(preferred, now) || !this.holderSelection.holdsNoLease(preferred)) {
      this.preferredHolderIdleSince.delete(preferred);
      return false;
    }
    const idleSince = this.preferredHolderIdleSince.get(preferred) ?? now;
    this.preferredHolderIdleSince.set(preferred, idleSince);
    const isSettled = this.isSettledLongEnough(shard, now);
    return isSettled || now - idleSince >= MAX_UNSETTLED_MS;
  }

  /**
   * Whether the shard has been settled for long enough. A change of holder blocks the start of tasks until all machines have
   * answered the new holder, so a shard that hasn't recovered from the last change or a network partition isn't transferred.
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
