/** Recently released machines. Owns the time of each release, and the autoscaler's release requests without an outcome. */
import type { Milliseconds } from '../model/index.js';

/** For this long, heartbeats and peer statuses that name a released machine may be out of date. */
const STALE_REPORT_MS = 120_000;

/** For this long, the cloud may still list a released machine. */
const RELEASE_VISIBILITY_MS = 60_000;

/** The releases of the last minutes. */
export class RecentReleases {
  /** ordered by time: a machine that is released again moves to the end */
  private readonly releasedAt = new Map<string, Milliseconds>();
  private readonly pending = new Map<number, string[]>();

  get hasPending(): boolean {
    return this.pending.size > 0;
  }

  /** Adds a release request of the autoscaler; `id` is that of its effect. */
  addRequest(id: number, machines: string[]): void {
    this.pending.set(id, machines);
  }

  /** Removes a completed request and returns its machines; null if the autoscaler sent no request with this id. */
  removeRequest(id: number): string[] | null {
    const machines = this.pending.get(id);
    if (!machines) return null;
    this.pending.delete(id);
    return machines;
  }

  /** Records the release of a machine, and removes releases that are older than `STALE_REPORT_MS`. */
  recordRelease(machine: string, now: Milliseconds): void {
    this.releasedAt.delete(machine);
    this.releasedAt.set(machine, now);
    for (const [name, at] of this.releasedAt) {
      if (now - at < STALE_REPORT_MS) break;
      this.releasedAt.delete(name);
    }
  }

  /** Whether a release of the machine is recorded, even one that is too old for `isRecent`. */
  isRemembered(machine: string): boolean {
    return this.releasedAt.has(machine);
  }

  /** Whether the machine was released so recently that a heartbeat from it may be out of date. */
  isRecent(machine: string, now: Milliseconds): boolean {
    const releasedAt = this.releasedAt.get(machine);
    return releasedAt !== undefined && now - releasedAt < STALE_REPORT_MS;
  }

  /** Whether the machine was released so recently that the cloud may still list it. */
  mayBeListed(machine: string, now: Milliseconds): boolean {
    const releasedAt = this.releasedAt.get(machine);
    return releasedAt !== undefined && now - releasedAt < RELEASE_VISIBILITY_MS;
  }
}
