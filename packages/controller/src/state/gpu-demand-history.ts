/**
 * What accelerator machines have been wanted for, by the jobs that became startable here. Scheduling keeps that much free
 * on them, and so other work from blocking accelerator work. Owns both tables; they only ever grow.
 */
import type { MachineType } from '@archpost/protocol';
import { fits, type Job, type Resources } from '../model/index.js';

/** The largest amounts, and the highest priority, among the accelerator tasks that fit a machine type. */
export interface GpuDemand extends Resources {
  priority: number;
}

/** The demand for accelerators so far. */
export class GpuDemandHistory {
  /** by the index of the machine type */
  readonly byType = new Map<number, GpuDemand>();
  /** shards whose teams have had accelerator work */
  readonly shardsWithGpuWork = new Set<number>();

  constructor(private readonly machineTypes: readonly (MachineType | null)[]) {}

  /** Records a job that may start. Recording it twice changes nothing. */
  record(job: Job): void {
    if (job.spec.gpus <= 0) return;
    this.shardsWithGpuWork.add(job.shard);
    this.machineTypes.forEach((machineType, index) => {
      if (!machineType || !fits(job.spec, machineType)) return;
      if (job.typeIndices !== null && !job.typeIndices.includes(index)) return;
      this.byType.set(index, largerDemand(this.byType.get(index), job));
    });
  }
}

function largerDemand(known: GpuDemand | undefined, { spec }: Job): GpuDemand {
  return {
    cpus: Math.max(known?.cpus ?? 0, spec.cpus),
    gpus: Math.max(known?.gpus ?? 0, spec.gpus),
    memory: Math.max(known?.memory ?? 0, spec.memory),
    priority: Math.max(known?.priority ?? 0, spec.priority),
  };
}
