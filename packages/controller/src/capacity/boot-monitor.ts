/**
 * Boot time limits of machine types, and the kinds of machines that fail to boot. Owns the estimator, and the kinds that were
 * last found to fail, so that a change is logged once.
 */
import type { ClusterStateView, Logger } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { BootTimeEstimator } from './boot-time-estimator.js';
import { type InstanceKind, instanceKindKey, machineTypeNamed } from './instance-kind.js';

/** The boot time assumed for a type that the cloud has not listed. */
const DEFAULT_BOOT_S = 60;

/** Combines the estimates with the boot times that the cloud names for its machine types. */
export class BootMonitor {
  private readonly estimator = new BootTimeEstimator();
  private readonly failingKinds = new Set<string>();

  constructor(private readonly context: ClusterStateView & Logger) {}

  /** A machine came up, `durationMs` after it was requested. */
  recordBoot(kind: InstanceKind, durationMs: Milliseconds, now: Milliseconds): void {
    this.estimator.recordBoot(kind, durationMs, now);
  }

  /** Replaces what is known of machines that are overdue: `kinds` has the kind of each. */
  setOverdue(kinds: InstanceKind[]): void {
    this.estimator.setOverdue(kinds);
  }

  /** A machine of the type that isn't up after this long is overdue. */
  limitMs(type: string, now: Milliseconds): Milliseconds {
    return this.estimator.limitMs(type, machineTypeNamed(this.context, type)?.bootS ?? DEFAULT_BOOT_S, now);
  }

  /** Do machines of the kind fail to boot? A change since the last call is logged with the fields of `kind`. */
  isFailing(kind: InstanceKind, now: Milliseconds): boolean {
    const isFailing = this.estimator.isFailing(kind, this.limitMs(kind.type, now), now);
    const key = instanceKindKey(kind);
    if (isFailing === this.failingKinds.has(key)) return isFailing;
    if (isFailing) this.failingKinds.add(key);
    else this.failingKinds.delete(key);
    this.context.log('info', isFailing ? 'instance kind fails to boot' : 'instance kind boots again', { ...kind });
    return isFailing;
  }
}
