/**
 * Which workers can be reached from here, as far as their answers and their silence tell: whether a zone is cut off, and
 * whether the fault is this controller's own. What is heard isn't reachable, and no answer isn't no.
 */

import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, EffectSink, Logger, PeerDirectory, SettingsView } from '../context/index.js';
import type { Machine, Milliseconds } from '../model/index.js';

/** No worker answers for this long, though some were asked for that: the fault is here. */
const NO_ANSWER_LIMIT_MS = 2000;

/** So many that are heard don't answer, and none has for so long: a doubt. */
const MIN_UNANSWERED_MACHINES = 3;
const NO_ANSWER_SUSPICION_MS = 1500;

/** Workers asked at once whether they can be reached, how often, and how many answers in a row end the doubt. */
const PROBES_PER_ROUND = 4;
const PROBE_ROUND_INTERVAL_MS = 1500;
const ANSWERS_TO_RECOVER = 6;

/** A machine heard within this time counts as heard in its zone. */
const RECENTLY_HEARD_MS = 4000;

/** One that is well isn't asked more often than this. */
const HEALTHY_PROBE_INTERVAL_MS = 1000;

/** A few machines that were asked at once whether they can be reached. */
interface ProbeRound {
  consecutiveAnswers: number;
  silent: string[];
}

/** What is seen of a zone's machines that are ours. */
interface ZoneHealth {
  total: number;
  /** heard lately */
  heard: number;
  /** do not answer commands */
  unanswered: number;
}

/** What the failure detector needs of its controller. */
type FailureDetectorContext = SettingsView & ClusterStateView & PeerDirectory & EffectSink & Logger;

export class FailureDetector {
  private readonly cutZones = new Set<number>();
  private zones = new Map<number, ZoneHealth>();
  /** Can workers be reached from here? */
  reachesWorkers = true;
  private unreachableSince: Milliseconds | null = null;
  /** since when no worker at all has answered; -1: some do */
  private noAnswerSince: Milliseconds | null = null;
  private consecutiveAnswers = 0;
  private nextProbeAt: Milliseconds = 0;
  /** questions of a round that were not answered yet, and whom they went to */
  private readonly pendingProbes = new Map<number, string>();
  private probeRound: ProbeRound = { consecutiveAnswers: 0, silent: [] };
  private probeRoundCount = 0;
  /** machines that were silent while others answered */
  private readonly individuallySilent = new Set<string>();

  constructor(
    private readonly context: FailureDetectorContext,
    private readonly allocations: TaskAllocations,
  ) {}

  /** Doubts of before a pause of this process start anew. */
  processPaused(): void {
    this.noAnswerSince = null;
    this.unreachableSince = null;
  }

  /** Looks at all machines held here. */
  evaluate(now: Milliseconds): void {
    this.evaluateAnswers(now);
    this.zones = this.zoneHealths(now);
    this.evaluateZones(this.zones, now);
    this.evaluateReachability(this.zones, now);
  }

  /** Where many can't be reached at once, the fault isn't theirs. */
  isWidespreadLoss(zone: number): boolean {
    const health = this.zones.get(zone);
    return (
      !this.reachesWorkers ||
      this.cutZones.has(zone) ||
      (health !== undefined && health.unanswered > 1 && health.unanswered * 4 > health.total)
    );
  }

  /** Is the machine in a zone that is seen to be cut off? */
  isInCutZone(machine: Machine): boolean {
    return this.cutZones.has(machine.zoneIndex);
  }

  private zoneHealths(now: Milliseconds): Map<number, ZoneHealth> {
    const zones = new Map<number, ZoneHealth>();
    for (const machine of this.context.clusterState.machines.values()) {
      // What was not asked yet after a takeover says nothing of its zone.
      if (!this.allocations.heldShards.has(machine.shard) || (!machine.tenure.isVerified && !machine.tenure.isProbed)) continue;
      const health = zones.get(machine.zoneIndex) ?? { total: 0, heard: 0, unanswered: 0 };
      health.total++;
      if (machine.tenure.unansweredCommands >= 2) health.unanswered++;
      if (now - machine.tenure.lastHeartbeatAt < RECENTLY_HEARD_MS) health.heard++;
      zones.set(machine.zoneIndex, health);
    }
    return zones;
  }

  /** Several machines don't answer though they are heard, and since then none does. */
  private evaluateAnswers(now: Milliseconds): void {
    const nobodyAnswers =
      this.allocations.unansweredMachines.size >= MIN_UNANSWERED_MACHINES &&
      now - this.allocations.lastAnswerAt > NO_ANSWER_SUSPICION_MS;
    if (!nobodyAnswers) {
      const lastedMs = this.noAnswerSince === null ? 0 : now - this.noAnswerSince;
      this.noAnswerSince = null;
      // Cleared at once by those who were asked: the others' silence is their own.
      if (lastedMs < NO_ANSWER_LIMIT_MS) return;
      for (const machine of this.context.clusterState.machines.values())
        if (this.allocations.heldShards.has(machine.shard)) this.restartSilence(machine, now);
      return;
    }
    if (this.noAnswerSince === null) this.noAnswerSince = now;
    // At once: the doubt ends sooner than an answer stops counting for trust, and who is well isn't asked otherwise.
    this.probeHealthy(now);
  }

  /**
   * When a cut ends, workers need a moment to find their way back from the keeper that
   * answered them meanwhile: until then their silence says nothing.
   */
  private evaluateZones(zones: Map<number, ZoneHealth>, now: Milliseconds): void {
    for (const [zone, health] of zones) {
      if (this.isZoneCut(zone, health, now)) this.cutZones.add(zone);
      else if (this.cutZones.delete(zone)) {
        for (const machine of this.context.clusterState.machines.values()) {
          if (machine.zoneIndex === zone && this.allocations.heldShards.has(machine.shard)) this.restartSilence(machine, now);
        }
      }
    }
  }

  /**
   * Workers that can't be reached from here, not even those of our own zone: the fault is
   * ours, and another controller can do better. What is asked for here finds out when
   * it is over.
   */
  private evaluateReachability(zones: Map<number, ZoneHealth>, now: Milliseconds): void {
    if (!this.reachesWorkers) return;
    const own = zones.get(this.context.clusterState.zoneNames.indexOf(this.context.settings.zone));
    const all = { total: 0, heard: 0, unanswered: 0 };
    for (const health of zones.values()) {
      all.total += health.total;
      all.unanswered += health.unanswered;
    }
    const health = own && own.total >= 3 ? own : all;
    const isCutOff = health.total >= 3 && health.unanswered * 4 >= health.total * 3;
    if (!isCutOff && this.noAnswerSince === null) {
      this.unreachableSince = null;
      return;
    }
    if (this.unreachableSince === null) this.unreachableSince = isCutOff ? now : (this.noAnswerSince ?? now);
    if (now - this.unreachableSince < NO_ANSWER_LIMIT_MS) return;
    this.reachesWorkers = false;
    this.consecutiveAnswers = 0;
    this.individuallySilent.clear();
    this.nextProbeAt = now;
    this.context.log('warn', 'workers unreachable', { lost: health.unanswered, of: health.total });
  }

  /** Without shares no command tells whether workers can be reached again: a few are asked. */
  probeForRecovery(now: Milliseconds): void {
    if (this.reachesWorkers || now < this.nextProbeAt || this.pendingProbes.size > 0) return;
    this.nextProbeAt = now + PROBE_ROUND_INTERVAL_MS;
    const zone = this.context.clusterState.zoneNames.indexOf(this.context.settings.zone);
    const all = [...this.context.clusterState.machines.values()].filter((machine) => machine.address !== '');
    const near = all.filter((machine) => machine.zoneIndex === zone);
    const list = near.length >= 3 ? near : all;
    if (list.length === 0) this.reachesWorkers = true;
    const others = list.filter((machine) => !this.individuallySilent.has(machine.name));
    this.startProbeRound(others.length >= PROBES_PER_ROUND ? others : list);
  }

  /** A few from all over the list, others each time. */
  private startProbeRound(list: Machine[]): void {
    this.probeRound = { consecutiveAnswers: 0, silent: [] };
    const start = this.probeRoundCount++;
    for (let index = 0; index < Math.min(PROBES_PER_ROUND, list.length); index++) {
      const machine = list[Math.floor((index * list.length) / PROBES_PER_ROUND + start) % list.length] as Machine;
      const id = this.context.nextEffectId();
      this.pendingProbes.set(id, machine.name);
      this.context.emit({ type: 'probe', id, address: machine.address });
    }
  }

  /**
   * Where others of its round answer, a machine's silence is its own, and it isn't asked again. With a third of all
   * machines dead the same four were asked for ever, and nobody gave the dead ones back meanwhile.
   */
  private endProbeRound(): void {
    if (this.pendingProbes.size > 0 || this.probeRound.consecutiveAnswers < this.probeRound.silent.length) return;
    for (const name of this.probeRound.silent) this.individuallySilent.add(name);
  }

  /** Whether a worker answered the question that `ask` put. */
  handleProbeOutcome(id: number, isAnswered: boolean): void {
    const name = this.pendingProbes.get(id);
    if (name === undefined) return;
    this.pendingProbes.delete(id);
    this.consecutiveAnswers = isAnswered ? this.consecutiveAnswers + 1 : 0;
    if (isAnswered) this.probeRound.consecutiveAnswers++;
    else this.probeRound.silent.push(name);
    this.endProbeRound();
    // Two rounds answered whole: a share that comes home must not leave again at once.
    if (this.consecutiveAnswers < ANSWERS_TO_RECOVER || this.reachesWorkers) return;
    this.reachesWorkers = true;
    this.unreachableSince = null;
    this.noAnswerSince = null;
    this.allocations.unansweredMachines.clear();
    for (const machine of this.context.clusterState.machines.values()) machine.tenure.unansweredCommands = 0;
    this.context.log('info', 'workers reachable again');
  }

  /** Is the zone seen to be cut off? */
  isZoneNameCut(zone: string): boolean {
    return this.cutZones.has(this.context.clusterState.zoneNames.indexOf(zone));
  }

  /** A zone whose machines are all silent, or most of them and its controllers too, is cut off. */
  private isZoneCut(zone: number, health: ZoneHealth, now: Milliseconds): boolean {
    const name = this.context.clusterState.zoneNames.nameOf(zone);
    const { settings } = this.context;
    if (name === settings.zone) return health.total >= 3 && health.heard === 0;
    const zonePeers = settings.controllers.filter((node) => node.zone === name && node.name !== settings.name);
    if (zonePeers.length > 0)
      return zonePeers.every((node) => !this.context.isPeerAlive(node.name, now)) && health.heard * 2 <= health.total;
    return health.total >= 2 && health.heard === 0;
  }

  /**
   * Before a machine is given up for its silence, some other must have answered lately: else
   * perhaps it is this controller that is cut off from all workers. One such cut of 30 s took
   * 115 live machines. Those that are heard, by way of others if need be, are asked. Where
   * there is nobody to ask, it takes twice the silence.
   */
  confirmSilence(now: Milliseconds, silent: Milliseconds): boolean {
    if (now - this.allocations.lastAnswerAt < 2000 * this.context.settings.workers.heartbeatIntervalS) return true;
    const probeable = this.probeHealthy(now);
    return probeable === 0 && silent > 2000 * this.context.settings.policy.silentS;
  }

  /** Some that are heard and have answered so far are asked. Returns how many there are, up to a few. */
  private probeHealthy(now: Milliseconds): number {
    let probeable = 0;
    for (const machine of this.context.clusterState.machines.values()) {
      if (probeable === PROBES_PER_ROUND) break;
      if (
        !this.allocations.heldShards.has(machine.shard) ||
        machine.tenure.unansweredCommands > 0 ||
        machine.tenure.releaseReason !== null
      )
        continue;
      if (!this.allocations.isHeardRecently(machine, now)) continue;
      if (now - machine.lastProbeAt > HEALTHY_PROBE_INTERVAL_MS) machine.probeRequested = true;
      probeable++;
    }
    return probeable;
  }

  /** Its silence so far may have been ours. */
  private restartSilence(machine: Machine, now: Milliseconds): void {
    // One that hasn't answered since the share was taken over keeps the share's work from going
    // on, and is asked, not waited for.
    machine.tenure.lastHeartbeatAt = machine.tenure.isVerified
      ? now
      : Math.max(machine.tenure.lastHeartbeatAt, now - this.context.settings.policy.silentS * 500);
    machine.tenure.unansweredCommands = Math.min(machine.tenure.unansweredCommands, 1);
    machine.tenure.unansweredSince = machine.tenure.unansweredCommands > 0 ? now : null;
  }
}
