/** What an owner tells the leader of a share: its machines, and its work that has no room. */
import type { PeerDemand, PeerMachine, PeerShare } from '@archpost/protocol';
import type { UnmetWork, Work } from '../allocation/task-allocations.js';
import type { Context } from '../context/index.js';
import { type Machine, type Ms, TOP_RANK } from '../model/index.js';
import { zoneAllows, zoneCounts } from '../scheduling/placement.js';
import type { Guarantees, Order } from '../scheduling/queue-order.js';
import type { Planner } from '../scheduling/scheduler.js';

/** What is told of a share is worked out anew after this long. */
const VIEW_MS = 400;

/** Most kinds of waiting work that are told. */
const MOST_DEMANDS = 32;

/** Higher than any rank: nothing may be moved off the machine. */
const UNMOVABLE_RANK = 9;

/** Slack is told within these bounds. */
const MOST_SLACK_S = 1e4;

interface View {
  at: Ms;
  share: PeerShare;
}

export class ShareViews {
  private readonly views = new Map<number, View>();

  constructor(
    private readonly context: Context,
    private readonly work: Work,
    private readonly order: Order,
    private readonly planner: Planner,
  ) {}

  /** As it was at most a moment ago: the leader and the status both ask. */
  of(share: number, now: Ms): PeerShare {
    const old = this.views.get(share);
    if (old && now - old.at < VIEW_MS && this.work.held.has(share)) return old.share;
    const fresh = { share, machines: this.machines(share, now), demands: this.demands(share, now) };
    this.views.set(share, { at: now, share: fresh });
    return fresh;
  }

  forget(share: number): void {
    this.views.delete(share);
  }

  private machines(share: number, now: Ms): PeerMachine[] {
    const guarantees = this.order.guarantees();
    const clearable = this.planner.clearable(share, now);
    const told: PeerMachine[] = [];
    for (const machine of this.context.table.machines.values()) {
      if (machine.share !== share) continue;
      const room = this.work.roomOf(machine);
      told.push({
        name: machine.name,
        freeCpus: Math.max(0, room.cpus),
        freeGpus: Math.max(0, room.gpus),
        freeMemory: Math.max(0, room.memory),
        tasks: machine.placements.size,
        firmRank: this.work.usable(machine, now) ? this.firmRank(machine, guarantees, clearable) : UNMOVABLE_RANK,
        idleS: machine.placements.size === 0 ? (now - machine.idleSince) / 1000 : 0,
        services: this.work.servicesOn(machine).length,
      });
    }
    return told;
  }

  /** The highest rank of work on the machine that may not be stopped for others. */
  private firmRank(machine: Machine, guarantees: Guarantees, clearable: Set<Machine>): number {
    let rank = -1;
    for (const { job, phase } of machine.placements.values()) {
      if (phase === 'exited' || (job.spec.shape === 'service' && clearable.has(machine))) continue;
      // Within a guarantee it gives way to the highest rank only.
      rank = Math.max(rank, job.rank, guarantees.get(job)?.firm ? TOP_RANK - 1 : -1);
    }
    return rank;
  }

  /** Work that is alike in what it wants is told as one. */
  private demands(share: number, now: Ms): PeerDemand[] {
    const demands = new Map<string, PeerDemand>();
    for (const unmet of this.work.unmet) {
      if (unmet.job.share !== share) continue;
      const demand = this.demandOf(unmet, now);
      const { cpus, gpus, memory, types, zone, spot, rank, within, notZones } = demand;
      const key = [cpus, gpus, memory, types, zone, spot, rank, within, unmet.job.spec.shape, notZones].join('/');
      const old = demands.get(key);
      if (old) {
        old.count += demand.count;
        old.waitS = Math.max(old.waitS, demand.waitS);
        old.slackS = Math.min(old.slackS, demand.slackS);
      } else if (demands.size < MOST_DEMANDS) demands.set(key, demand);
    }
    return [...demands.values()];
  }

  private demandOf({ job, count, within }: UnmetWork, now: Ms): PeerDemand {
    const { cpus, gpus, memory, zone, spot, shape } = job.spec;
    const { typeNames } = this.context.table;
    const slackS = (this.order.dueOf(job, now) - now) / 1000;
    return {
      cpus,
      gpus,
      memory,
      types: job.types?.map((type) => typeNames.name(type)) ?? [],
      zone: zone ?? '',
      spot,
      rank: job.rank,
      within,
      count,
      gang: shape === 'gang',
      waitS: (now - Math.max(job.arrivedAt, job.waitsSince)) / 1000,
      slackS: Math.max(-MOST_SLACK_S, Math.min(MOST_SLACK_S, slackS)),
      notZones: shape === 'gang' ? [] : this.barredZones(job),
    };
  }

  /** Zones that the job's other tasks bar for one more. */
  private barredZones(job: UnmetWork['job']): string[] {
    const { settings, table } = this.context;
    const counts = zoneCounts(job);
    return settings.zones.filter((zone) => !zoneAllows(job, counts, table.zoneNames.find(zone)));
  }
}
