/**
 * The cloud's list of machines. Owns the last list received, when it was received, and whether another has been requested.
 */
import { type ListedMachine, MAX_MACHINES_PER_LIST } from '@archpost/protocol';
import type { EffectSink, SettingsView } from '../context/index.js';
import { type Milliseconds, NEVER } from '../model/index.js';

/** The least time between two requests for a list. */
const MIN_LIST_INTERVAL_MS = 2000;

/** The fraction of the permitted requests to the cloud that lists may take. */
const LIST_FRACTION_OF_REQUESTS = 0.25;

/** A provisioned machine is in a list after this long, or later where lists are slow. */
const MIN_LIST_VISIBILITY_MS = 60_000;

/** Some lists are as late as this many times the lag that the cloud names. */
const MAX_LAG_FACTOR = 2;

/** Stands for the time of receipt until the first list of a tenure: ages of the previous tenure's list count from here. */
const BEFORE_ANY_LIST: Milliseconds = -1;

/** The machines that the cloud says there are. */
export class MachineList {
  private machines = new Map<string, ListedMachine>();
  private requestedAt: Milliseconds = NEVER;
  private isRequestPending = false;
  /** null until the first list of this tenure */
  private receivedAt: Milliseconds | null = null;

  constructor(private readonly context: SettingsView & EffectSink) {}

  /** The leadership begins: a list has to be received anew. The machines of the last list are kept until then. */
  leaseAcquired(): void {
    this.isRequestPending = false;
    this.receivedAt = null;
  }

  /** Has a list been received since this leadership began? */
  get isKnown(): boolean {
    return this.receivedAt !== null;
  }

  /** Requests a list, unless one is pending or the last request was a moment ago. */
  request(now: Milliseconds): void {
    if (this.isRequestPending || now - this.requestedAt <= this.intervalMs) return;
    this.requestedAt = now;
    this.isRequestPending = true;
    this.context.emit({ type: 'listMachines' });
  }

  /**
   * Takes the outcome of a request: `machines` is null if it failed. Returns whether the list was replaced; one that arrives
   * when this controller doesn't lead is dropped.
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

  /** How long ago the machine was requested: its age in the list, and the time since the list was received. */
  ageMs(listed: ListedMachine, now: Milliseconds): Milliseconds {
    return listed.ageS * 1000 + (now - (this.receivedAt ?? BEFORE_ANY_LIST));
  }

  /** A list may show the machines of this long ago: some are as late as twice the lag that the cloud names. */
  get maxLagMs(): Milliseconds {
    return MAX_LAG_FACTOR * 1000 * this.context.settings.cloud.listLagS;
  }

  /** After this long a provisioned machine is listed if it exists. */
  get visibilityMs(): Milliseconds {
    return Math.max(MIN_LIST_VISIBILITY_MS, 2 * this.intervalMs + this.maxLagMs);
  }

  /** A list of many machines takes many requests; it may take a fraction only, since provisioning and releases need the rest. */
  private get intervalMs(): Milliseconds {
    const pages = Math.max(1, Math.ceil(this.machines.size / MAX_MACHINES_PER_LIST));
    return Math.max(
      MIN_LIST_INTERVAL_MS,
      (pages * 1000) / (LIST_FRACTION_OF_REQUESTS * this.context.settings.cloud.requestsPerS),
    );
  }
}
