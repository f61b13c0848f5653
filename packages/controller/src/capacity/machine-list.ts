/**
 * The cloud's list of machines. Owns the last list, the time of its receipt, and whether another list request is pending.
 */
import { type ListedMachine, MAX_MACHINES_PER_PAGE } from '@archpost/protocol';
import type { EffectSink, SettingsView } from '../context/index.js';
import { type Milliseconds, NEVER } from '../model/index.js';

/** The minimum interval between two list requests. */
const MIN_LIST_INTERVAL_MS = 2000;

/** The fraction of the cloud's request rate limit that list requests may use. */
const LIST_FRACTION_OF_REQUESTS = 0.25;

/** The minimum time after which a provisioned machine is expected in a list; longer if lists are slow. */
const MIN_LIST_VISIBILITY_MS = 60_000;

/** Some lists lag by this multiple of the lag that the cloud states. */
const MAX_LAG_FACTOR = 2;

/** The receipt time assumed until the first list of a leadership: ages in the previous leadership's list count from it. */
const BEFORE_ANY_LIST: Milliseconds = -1;

/** The machines that exist according to the cloud. */
export class MachineList {
  private machines = new Map<string, ListedMachine>();
  private requestedAt: Milliseconds = NEVER;
  private isRequestPending = false;
  /** null until the first list of this leadership */
  private receivedAt: Milliseconds | null = null;

  constructor(private readonly context: SettingsView & EffectSink) {}

  /** Called when a leadership begins: a new list has to be received. The machines of the last list are kept until then. */
  onLeaseAcquired(): void {
    this.isRequestPending = false;
    this.receivedAt = null;
  }

  /** Whether a list has been received since this leadership began. */
  get isKnown(): boolean {
    return this.receivedAt !== null;
  }

  /** Requests a list, unless a request is pending or the interval since the last one has not passed. */
  request(now: Milliseconds): void {
    if (this.isRequestPending || now - this.requestedAt <= this.intervalMs) return;
    this.requestedAt = now;
    this.isRequestPending = true;
    this.context.emit({ type: 'listMachines' });
  }

  /**
   * Handles the outcome of a request: `machines` is null if it failed. Returns whether the list was replaced; a list that arrives
   * while this controller doesn't lead is dropped.
   */
  receive(machines: ListedMachine[] | null, isLeading: boolean, now: Milliseconds): boolean {
    this.isRequestPending = false;
    if (!machines || !isLeading) return false;
    this.machines = new Map(machines.map((listed) => [listed.machine, listed]));
    this.receivedAt = now;
    return true;
  }

  get(machine: string): ListedMachine | undefined {
    return this.machines.get(machine);
  }

  has(machine: string): boolean {
    return this.machines.has(machine);
  }

  /** The listed machines, in the cloud's order. */
  values(): Iterable<ListedMachine> {
    return this.machines.values();
  }

  /** Returns the time since the machine was requested: its age in the list, plus the time since the list was received. */
  ageMs(listed: ListedMachine, now: Milliseconds): Milliseconds {
    return listed.ageS * 1000 + (now - (this.receivedAt ?? BEFORE_ANY_LIST));
  }

  /** The maximum lag of a list: some lists lag by twice the lag that the cloud states. */
  get maxLagMs(): Milliseconds {
    return MAX_LAG_FACTOR * 1000 * this.context.settings.cloud.listLagS;
  }

  /** The time after which a provisioned machine is listed if it exists. */
  get visibilityMs(): Milliseconds {
    return Math.max(MIN_LIST_VISIBILITY_MS, 2 * this.intervalMs + this.maxLagMs);
  }

  /**
   * The interval between lists. A list of many machines takes many requests; lists use only a fraction of the request rate limit,
   * since provisioning and releases need the rest.
   */
  private get intervalMs(): Milliseconds {
    const pages = Math.max(1, Math.ceil(this.machines.size / MAX_MACHINES_PER_PAGE));
    return Math.max(
      MIN_LIST_INTERVAL_MS,
      (pages * 1000) / (LIST_FRACTION_OF_REQUESTS * this.context.settings.cloud.requestsPerS),
    );
  }
}
