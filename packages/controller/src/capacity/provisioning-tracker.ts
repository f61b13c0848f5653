/** Machines that were requested from the cloud and aren't listed yet. Owns the pending requests and the booting machines. */
import type { Milliseconds } from '../model/index.js';
import type { InstanceKind } from './instance-kind.js';

/** A provisioning request without an outcome. */
export interface PendingProvisioning extends InstanceKind {
  count: number;
  /** when the request was sent */
  at: Milliseconds;
}

/** A machine that the cloud provisioned and that is neither listed nor assigned yet. */
interface BootingMachine extends InstanceKind {
  /** when the cloud confirmed the provisioning */
  at: Milliseconds;
}

/** The provisioning requests of one leadership, and the machines that were provisioned for them. */
export class ProvisioningTracker {
  private readonly pendingRequests = new Map<number, PendingProvisioning>();
  private readonly bootingMachines = new Map<string, BootingMachine>();

  /** Called when a leadership begins: the list will show the machines that an earlier leadership requested. */
  onLeaseAcquired(): void {
    this.bootingMachines.clear();
    this.pendingRequests.clear();
  }

  get pendingCount(): number {
    return this.pendingRequests.size;
  }

  /** Adds a request that was sent; `id` is that of its effect. */
  addRequest(id: number, { type, zone, spot }: InstanceKind, count: number, now: Milliseconds): void {
    this.pendingRequests.set(id, { type, zone, spot, count, at: now });
  }

  /** Removes a completed request and returns it; null if it doesn't belong to this leadership. */
  removeRequest(id: number): PendingProvisioning | null {
    const pending = this.pendingRequests.get(id);
    if (!pending) return null;
    this.pendingRequests.delete(id);
    return pending;
  }

  /** Adds a machine that the cloud provisioned. */
  addBootingMachine(machine: string, { type, zone, spot }: InstanceKind, now: Milliseconds): void {
    this.bootingMachines.set(machine, { type, zone, spot, at: now });
  }

  /** Removes a machine that is listed, assigned or released: other parts track it from then on. */
  forget(machine: string): void {
    this.bootingMachines.delete(machine);
  }

  /** Removes machines that were provisioned longer ago than `maxAgeMs`: they would be listed if they existed. */
  forgetOlderThan(maxAgeMs: Milliseconds, now: Milliseconds): void {
    for (const [machine, { at }] of this.bootingMachines) if (now - at > maxAgeMs) this.bootingMachines.delete(machine);
  }

  /** Returns the time since the machine was provisioned; null if it isn't tracked as booting. */
  bootingForMs(machine: string, now: Milliseconds): Milliseconds | null {
    const booting = this.bootingMachines.get(machine);
    return booting ? now - booting.at : null;
  }

  /** Returns the kind of each booting or requested machine. */
  arrivingKinds(): InstanceKind[] {
    const kinds: InstanceKind[] = [...this.bootingMachines.values()];
    for (const pending of this.pendingRequests.values()) for (let index = 0; index < pending.count; index++) kinds.push(pending);
    return kinds;
  }
}
