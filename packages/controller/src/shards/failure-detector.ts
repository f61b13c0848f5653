/**
 * Which workers can be reached from here, as far as their answers and their silence show: whether a zone is cut off, and
 * whether the fault is this controller's own. A worker that is heard need not be reachable, and one that doesn't answer need
 * not be dead. Owns which zones count as cut off, and since when no worker answers.
 */
import { isHeardRecently, type TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, EffectSink, Logger, PeerDirectory, SettingsView } from '../context/index.js';
import type { Machine, Milliseconds } from '../model/index.js';
import { RecoveryProbes } from './recovery-probes.js';
import type { WorkerAnswers } from './worker-answers.js';
import { healthNearby, isLossWidespread, isNearlyAllUnanswered, isZoneCutOff, type ZoneHealth } from './zone-health.js';

/** No worker answers for this long, though some that are heard were probed for that: the fault is here. */
const NO_ANSWER_LIMIT_MS = 2000;

/** No worker seems to answer once this many that are heard did not, and none has for this long. */
const MIN_UNANSWERED_MACHINES = 3;
const NO_ANSWER_SUSPICION_MS = 1500;

/** A machine heard within this time counts as heard in its zone. */
const RECENTLY_HEARD_MS = 4000;

/** A machine that did not answer this many commands in a row counts as unanswered in its zone. */
const UNANSWERED_COMMANDS = 2;

/** Healthy machines probed at once. */
const MAX_HEALTHY_PROBES = 4;

/** A healthy machine isn't probed more often than this. */
const HEALTHY_PROBE_INTERVAL_MS = 1000;

/** An answer of any worker within this many heartbeat intervals shows that this controller isn't cut off. */
const ANSWER_FRESH_INTERVALS = 2;

/** Where there is nobody to probe, silence is believed after this multiple of the time that a machine's silence is tolerated. */
const UNCONFIRMED_SILENCE_FACTOR = 2;

/** What the failure detector needs of its controller. */
type FailureDetectorContext = SettingsView & ClusterStateView & PeerDirectory & EffectSink & Logger;

/** Judges the machines of the shards held here together; what follows for one of them is the machine lifecycle's to decide. */
export class FailureDetector {
  /** Can workers be reached from here? */
  reachesWorkers = true;
  private readonly recoveryProbes: RecoveryProbes;
  /** indices of the zones that are cut off from here */
  private readonly cutZones = new Set<number>();
  /** by zone index, as of the last tick */
  private zones: ReadonlyMap<number, ZoneHealth> = new Map();
  /** since when this controller seems cut off from all workers; null: it doesn't */
  private unreachableSince: Milliseconds | null = null;
  /** since when no worker at all has answered; null: some do */
  private noAnswerSince: Milliseconds | null = null;

  constructor(
    private readonly context: FailureDetectorContext,
    private readonly allocations: TaskAllocations,
    private readonly workerAnswers: WorkerAnswers,
  ) {
    this.recoveryProbes = new RecoveryProbes(context);
  }

  /** What was suspected before a pause of this process has to show anew. */
  processPaused(): void {
    this.noAnswerSince = null;
    this.unreachableSince = null;
  }

  /** To be called at each tick, before machines are judged one by one. */
  evaluate(now: Milliseconds): void {
    this.evaluateAnswers(now);
    this.zones = this.zoneHealths(now);
    this.evaluateZones(now);
    this.evaluateReachability(now);
  }

  /** Can many machines of the zone not be reached at once? Then the fault isn't theirs. */
  isWidespreadLoss(zoneIndex: number): boolean {
    if (!this.reachesWorkers || this.cutZones.has(zoneIndex)) return true;
    const health = this.zones.get(zoneIndex);
    return health !== undefined && isLossWidespread(health);
  }

  /** Is the machine in a zone that is cut off from here? */
  isInCutZone(machine: Machine): boolean {
    return this.cutZones.has(machine.zoneIndex);
  }

  /** Is the zone of this name cut off from here? */
  isZoneNameCut(zone: string): boolean {
    return this.cutZones.has(this.context.clusterState.zoneNames.indexOf(zone));
  }

  /** To be called at each tick, with or without shards. */
  probeForRecovery(now: Milliseconds): void {
    if (this.reachesWorkers) return;
    // Without machines nothing can be found out, and nothing is lost.
    if (!this.recoveryProbes.tick(now)) this.reachesWorkers = true;
  }

  /** The outcome of a probe for recovery: did the worker answer? */
  handleProbeOutcome(id: number, isAnswered: boolean): void {
    const hasRecovered = this.recoveryProbes.handleOutcome(id, isAnswered);
    if (!hasRecovered || this.reachesWorkers) return;
    this.reachesWorkers = true;
    this.unreachableSince = null;
    this.noAnswerSince = null;
    this.workerAnswers.forgetUnanswered();
    for (const machine of this.context.clusterState.machines.values()) machine.tenure.unansweredCommands = 0;
    this.context.log('info', 'workers reachable again');
  }

  /**
   * May a machine that was silent for `silentMs` be given up for it? Only if some other worker answered recently: else it may
   * be this controller that is cut off from all of them. One such cut of 30 s took 115 live machines. Until then some that are
   * heard, by other controllers if need be, are probed; where there are none, it takes twice the silence.
   */
  confirmSilence(now: Milliseconds, silentMs: Milliseconds): boolean {
    const { workers, policy } = this.context.settings;
    const answeredMs = now - this.workerAnswers.lastAnswerAt;
    if (answeredMs < ANSWER_FRESH_INTERVALS * 1000 * workers.heartbeatIntervalS) return true;
    return this.probeHealthy(now) === 0 && silentMs > UNCONFIRMED_SILENCE_FACTOR * 1000 * policy.silentS;
  }

  /** Several machines don't answer though they are heard, and no other has answered since. */
  private evaluateAnswers(now: Milliseconds): void {
    if (this.nobodyAnswers(now)) {
      if (this.noAnswerSince === null) this.noAnswerSince = now;
      // At once: the suspicion ends sooner than an answer is too old to show anything, and healthy machines aren't probed
      // otherwise.
      this.probeHealthy(now);
      return;
    }
    const lastedMs = this.noAnswerSince === null ? 0 : now - this.noAnswerSince;
    this.noAnswerSince = null;
    // Where those that were probed answered at once, the silence of the others is their own.
    if (lastedMs < NO_ANSWER_LIMIT_MS) return;
    for (const machine of this.context.clusterState.machines.values())
      if (this.allocations.heldShards.has(machine.shard)) this.restartSilence(machine, now);
  }

  private nobodyAnswers(now: Milliseconds): boolean {
    const { unansweredCount, lastAnswerAt } = this.workerAnswers;
    return unansweredCount >= MIN_UNANSWERED_MACHINES && now - lastAnswerAt > NO_ANSWER_SUSPICION_MS;
  }

  private zoneHealths(now: Milliseconds): ReadonlyMap<number, ZoneHealth> {
    const zones = new Map<number, ZoneHealth>();
    for (const { shard, zoneIndex, tenure } of this.context.clusterState.machines.values()) {
      // A machine that was not probed yet after a takeover says nothing of its zone.
      if (!this.allocations.heldShards.has(shard) || (!tenure.isVerified && !tenure.isProbed)) continue;
      let health = zones.get(zoneIndex);
      if (health === undefined) {
        health = { total: 0, heard: 0, unanswered: 0 };
        zones.set(zoneIndex, health);
      }
      health.total++;
      if (tenure.unansweredCommands >= UNANSWERED_COMMANDS) health.unanswered++;
      if (now - tenure.lastHeartbeatAt < RECENTLY_HEARD_MS) health.heard++;
    }
    return zones;
  }

  /**
   * When a cut ends, workers need a moment to find their way back from the controller that answered them meanwhile: until then
   * their silence says nothing.
   */
  private evaluateZones(now: Milliseconds): void {
    const { clusterState } = this.context;
    for (const [zoneIndex, health] of this.zones) {
      if (isZoneCutOff(clusterState.zoneNames.nameOf(zoneIndex), health, this.context, now)) this.cutZones.add(zoneIndex);
      else if (this.cutZones.delete(zoneIndex)) this.restartSilenceOfZone(zoneIndex, now);
    }
  }

  private restartSilenceOfZone(zoneIndex: number, now: Milliseconds): void {
    for (const machine of this.context.clusterState.machines.values()) {
      if (machine.zoneIndex !== zoneIndex || !this.allocations.heldShards.has(machine.shard)) continue;
      this.restartSilence(machine, now);
      machine.tenure.lastContactAt = machine.tenure.lastHeartbeatAt;
    }
  }

  /**
   * Where workers can't be reached from here, not even those of this controller's zone, the fault is its own and another
   * controller can do better: the shards leave. Probes for recovery find out when it is over.
   */
  private evaluateReachability(now: Milliseconds): void {
    if (!this.reachesWorkers) return;
    const { clusterState, settings } = this.context;
    const health = healthNearby(this.zones, clusterState.zoneNames.indexOf(settings.zone));
    const seemsCutOff = isNearlyAllUnanswered(health);
    if (!seemsCutOff && this.noAnswerSince === null) {
      this.unreachableSince = null;
      return;
    }
    this.unreachableSince ??= seemsCutOff ? now : (this.noAnswerSince ?? now);
    if (now - this.unreachableSince < NO_ANSWER_LIMIT_MS) return;
    this.reachesWorkers = false;
    this.recoveryProbes.begin(now);
    this.context.log('warn', 'workers unreachable', { lost: health.unanswered, of: health.total });
  }

  /** Has a few machines probed that are heard and answered so far. Returns how many there are, up to a few. */
  private probeHealthy(now: Milliseconds): number {
    let healthy = 0;
    for (const machine of this.context.clusterState.machines.values()) {
      if (healthy === MAX_HEALTHY_PROBES) break;
      if (!this.isHealthy(machine, now)) continue;
      if (now - machine.lastProbeAt > HEALTHY_PROBE_INTERVAL_MS) machine.probeRequested = true;
      healthy++;
    }
    return healthy;
  }

  private isHealthy(machine: Machine, now: Milliseconds): boolean {
    return (
      this.allocations.heldShards.has(machine.shard) &&
      machine.tenure.unansweredCommands === 0 &&
      machine.tenure.releaseReason === null &&
      isHeardRecently(machine, now)
    );
  }

  /**
   * Its silence so far may have been this controller's. A machine that hasn't answered since the shard was taken over keeps the
   * shard's work from going on: at most half of its silence is forgiven.
   */
  private restartSilence({ tenure }: Machine, now: Milliseconds): void {
    const halfSilenceMs = (this.context.settings.policy.silentS * 1000) / 2;
    tenure.lastHeartbeatAt = tenure.isVerified ? now : Math.max(tenure.lastHeartbeatAt, now - halfSilenceMs);
    tenure.unansweredCommands = Math.min(tenure.unansweredCommands, 1);
    tenure.unansweredSince = tenure.unansweredCommands > 0 ? now : null;
  }
}
