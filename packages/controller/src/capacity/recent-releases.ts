/** Machines that were released to the cloud. Owns when each was, and the autoscaler's releases whose outcome isn't known yet. */
import type { Milliseconds } from '../model/index.js';

/** A heartbeat, or a peer's status, that names a released machine may be out of date for this long. */
const STALE_REPORT_MS = 120_000;

/** A released machine may still be listed for this long. */
const RELEASE_VISIBILITY_MS = 60_000;

/** The releases of the last minutes. */
export class RecentReleases {
  /** ordered by time: a machine that is released again moves to the end */
  private readonly releasedAt = new Map<string, Milliseconds>();
  private readonly pending = new Map<number, string[]>();

  get hasPending(): boolean {
    return this.pending.size > 0;
  }

  /** The autoscaler requested a release; `id` is that of its effect. */
  requestSent(id: number, machines: string[]): void {
    this.pending.set(id, machines);
  }

  /** Ends the request and returns its machines; null if the autoscaler sent none of this id. */
  requestEnded(id: number): string[] | null {
    const machines = this.pending.get(id);
    if (!machines) return null;
    this.pending.delete(id);
    return machines;
  }

  /** The machine was released. Releases that are out of date are forgotten, the oldest first. */
  released(machine: string, now: Milliseconds): void {
    this.releasedAt.delete(machine);
    this.releasedAt.set(machine, now);
    for (const [name, at] of this.releasedAt) {
      if (now - at < STALE_REPORT_MS) break;
      this.releasedAt.delete(name);
    }
  }

  /** Is a release of the machine remembered? It may be longer ago than `isRecent` counts. */
  isRemembered(machine: string): boolean {
    return this.releasedAt.has(machine);
  }

  /** Was it released recently, so that a heartbeat in its name may be out of date? */
  isRecent(machine: string, now: Milliseconds): boolean {
    const releasedAt = this.releasedAt.get(machine);
    return releasedAt !== undefined && now - releasedAt < STALE_REPORT_MS;
  }

  /** Was it released recently, so that the cloud may still list it? */
  mayBeListed(machine: string, now: Milliseconds): boolean {
    const releasedAt = this.releasedAt.get(machine);
    return releasedAt !== undefined && now - releasedAt < RELEASE_VISIBILITY_MS;
  }
}
