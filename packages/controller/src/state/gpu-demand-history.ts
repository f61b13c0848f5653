/**
 * The demand for accelerator machines, from the jobs that became startable on this controller. Scheduling keeps that much
 * capacity free on accelerator machines, so that other work doesn't block accelerator work. Owns both tables, which only grow.
 */
import type { MachineType } from '@archpost/protocol';
import { fits, type Job, type Resources } from '../model/index.js';

/** The largest amounts, and the highest priority, among the accelerator tasks that fit a machine type. */
export interface GpuDemand extends Resources {
  priority: number;
}

/** The demand for accelerators since the process started. */
export class GpuDemandHistory {
  /** by the index of the machine type */
  readonly byType = new Map<number, GpuDemand>();
  /** shards that have had startable accelerator jobs */
  readonly shardsWithGpuWork = new Set<number>();

  constructor(private readonly machineTypes: readonly (MachineType | null)[]) {}

  /** Records the demand of a startable job. A repeated call for the same job has no effect. */
  record(job: Job): void {
    if (job.spec.gpus <= 0) return;
    this.shardsWithGpuWork.add(job.shard);
    this.machineTypes.forEach((machineType, index) => {
      if (!machineType || !fits(job.spec, machineType)) return;
      if (job.typeIndices !== null && !job.typeIndices.includes(index)) return;
      this.byType.set(index, maxDemand(this.byType.get(index), job));
    });
  }
}

function maxDemand(current: GpuDemand | undefined, { spec }: Job): GpuDemand {
  return {
    cpus: Math.max(current?.cpus ?? 0, spec.cpus),
    gpus: Math.max(current?.gpus ?? 0, spec.gpus),
    memory: Math.max(current?.memory ?? 0, spec.memory),
    priority: Math.max(current?.priority ?? 0, spec.priority),
  };
}
