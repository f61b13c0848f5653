/**
 * Boot time limits of machine types, and detection of machine kinds that fail to boot. Owns the estimator, and the set of kinds
 * that failed at the last check, so that each change is logged once.
 */
import type { ClusterStateView, Logger } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { BootTimeEstimator } from './boot-time-estimator.js';
import { type InstanceKind, instanceKindKey, machineTypeNamed } from './instance-kind.js';

/** The assumed boot time of a type that the cloud has not listed. */
const DEFAULT_BOOT_S = 60;

/** Combines observed boot times with the boot times that the cloud states for its machine types. */
export class BootMonitor {
  private readonly estimator = new BootTimeEstimator();
  private readonly failingKinds = new Set<string>();

  constructor(private readonly context: ClusterStateView & Logger) {}

  /** Records that a machine of the kind came up `durationMs` after it was requested. */
  recordBoot(kind: InstanceKind, durationMs: Milliseconds, now: Milliseconds): void {
    this.estimator.recordBoot(kind, durationMs, now);
  }

  /** Replaces the set of overdue machines: `kinds` contains the kind of each. */
  setOverdue(kinds: InstanceKind[]): void {
    this.estimator.setOverdue(kinds);
  }

  /** Returns the boot time limit of the type: a machine that isn't up after this time is overdue. */
  limitMs(type: string, now: Milliseconds): Milliseconds {
    return this.estimator.limitMs(type, machineTypeNamed(this.context, type)?.bootS ?? DEFAULT_BOOT_S, now);
  }

  /** Whether machines of the kind fail to boot. A change since the last call is logged with the fields of `kind`. */
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
