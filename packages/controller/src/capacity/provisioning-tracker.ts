/** What was requested of the cloud and isn't listed yet. Owns the pending requests and the machines that boot. */
import type { Milliseconds } from '../model/index.js';
import type { InstanceKind } from './instance-kind.js';

/** A provisioning request whose outcome isn't known yet. */
export interface PendingProvisioning extends InstanceKind {
  count: number;
  /** when it was sent */
  at: Milliseconds;
}

/** A machine that the cloud provisioned, and that is neither listed nor assigned yet. */
interface BootingMachine extends InstanceKind {
  /** when the cloud answered that it is provisioned */
  at: Milliseconds;
}

/** The provisioning requests of one leadership, and the machines that came of them. */
export class ProvisioningTracker {
  private readonly pendingRequests = new Map<number, PendingProvisioning>();
  private readonly bootingMachines = new Map<string, BootingMachine>();

  /** The leadership begins: what an earlier one requested will be seen in the list. */
  leaseAcquired(): void {
    this.bootingMachines.clear();
    this.pendingRequests.clear();
  }

  get pendingCount(): number {
    return this.pendingRequests.size;
  }

  /** A request was sent; `id` is that of its effect. */
  requestSent(id: number, { type, zone, spot }: InstanceKind, count: number, now: Milliseconds): void {
    this.pendingRequests.set(id, { type, zone, spot, count, at: now });
  }

  /** Ends the request and returns it; null if it isn't of this leadership. */
  requestEnded(id: number): PendingProvisioning | null {
    const pending = this.pendingRequests.get(id);
    if (!pending) return null;
    this.pendingRequests.delete(id);
    return pending;
  }

  /** The cloud provisioned the machine. */
  machineProvisioned(machine: string, { type, zone, spot }: InstanceKind, now: Milliseconds): void {
    this.bootingMachines.set(machine, { type, zone, spot, at: now });
  }

  /** The machine is listed, assigned or released: what becomes of it is known elsewhere from now on. */
  forget(machine: string): void {
    this.bootingMachines.delete(machine);
  }

  /** Forgets machines that were provisioned longer ago than this: they would be listed if they existed. */
  forgetOlderThan(maxAgeMs: Milliseconds, now: Milliseconds): void {
    for (const [machine, { at }] of this.bootingMachines) if (now - at > maxAgeMs) this.bootingMachines.delete(machine);
  }

  /** How long ago the machine was provisioned; null if it isn't known to boot. */
  bootingForMs(machine: string, now: Milliseconds): Milliseconds | null {
    const booting = this.bootingMachines.get(machine);
    return booting ? now - booting.at : null;
  }

  /** The kind of each machine that boots or is requested. */
  arrivingKinds(): InstanceKind[] {
    const kinds: InstanceKind[] = [...this.bootingMachines.values()];
    for (const pending of this.pendingRequests.values()) for (let index = 0; index < pending.count; index++) kinds.push(pending);
    return kinds;
  }
}
