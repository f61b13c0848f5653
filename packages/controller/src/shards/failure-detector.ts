/**
 * Infers from the responses and the silence of workers which of them this controller can reach: whether a zone is cut off from
 * it, and whether it is itself cut off. A worker whose heartbeats arrive isn't necessarily reachable, and a worker that doesn't
 * respond isn't necessarily dead. Owns the set of zones that are cut off, and the time since which no worker responds.
 */
import { hasRecentContact, type TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, EffectSink, Logger, PeerDirectory, SettingsView } from '../context/index.js';
import type { Machine, Milliseconds } from '../model/index.js';
import { RecoveryProbes } from './recovery-probes.js';
import type { WorkerResponses } from './worker-responses.js';
import { isLossWidespread, isNearlyAllUnanswered, isZoneCutOff, referenceHealth, type ZoneHealth } from './zone-health.js';

/**
 * If no worker responds for this long, although workers whose heartbeats arrive were probed, this controller counts as cut off
 * from the workers.
 */
const NO_RESPONSE_LIMIT_MS = 2000;

/**
 * No worker seems to respond once this many workers whose heartbeats arrive have left a command unanswered, and the last response
 * of any worker is older than `NO_RESPONSE_SUSPICION_MS`.
 */
const MIN_UNANSWERED_MACHINES = 3;
const NO_RESPONSE_SUSPICION_MS = 1500;

/** A machine whose last heartbeat is younger than this counts as in contact in the health of its zone. */
const RECENT_HEARTBEAT_MS = 4000;

/** A machine that left this many commands in a row unanswered counts as unanswered in the health of its zone. */
const UNANSWERED_AFTER_COMMANDS = 2;

/** Maximum number of healthy machines for which one check requests probes. */
const MAX_HEALTHY_PROBES = 4;

/** Minimum interval between probes of a healthy machine. */
const HEALTHY_PROBE_INTERVAL_MS = 1000;

/** A response of any worker within this many heartbeat intervals shows that this controller isn't cut off. */
const RESPONSE_FRESH_INTERVALS = 2;

/** If there is no healthy machine to probe, a silence counts after this multiple of the tolerated silence. */
const UNCONFIRMED_SILENCE_FACTOR = 2;

/** The parts of the controller's context that `FailureDetector` uses. */
type FailureDetectorContext = SettingsView & ClusterStateView & PeerDirectory & EffectSink & Logger;

/** Evaluates the machines of the held shards as a group. The machine lifecycle decides about each single machine. */
export class FailureDetector {
  /** whether workers can be reached from this controller */
  reachesWorkers = true;
  private readonly recoveryProbes: RecoveryProbes;
  /** indices of the zones that are cut off from this controller */
  private readonly cutZones = new Set<number>();
  /** by zone index, as of the last tick */
  private healthByZone: ReadonlyMap<number, ZoneHealth> = new Map();
  /** since when this controller seems cut off from all workers; null if it doesn't */
  private unreachableSince: Milliseconds | null = null;
  /** since when no worker seems to respond; null if some do */
  private noResponseSince: Milliseconds | null = null;

  constructor(
    private readonly context: FailureDetectorContext,
    private readonly allocations: TaskAllocations,
    private readonly workerResponses: WorkerResponses,
  ) {
    this.recoveryProbes = new RecoveryProbes(context);
  }

  /** Resets suspicions from before a pause of this process, since they may be due to the pause. */
  onProcessPaused(): void {
    this.noResponseSince = null;
    this.unreachableSince = null;
  }

  /** Updates which zones are cut off and whether workers can be reached. Called at each tick, before machines are checked. */
  evaluate(now: Milliseconds): void {
    this.evaluateResponses(now);
    this.healthByZone = this.computeZoneHealth(now);
    this.evaluateZones(now);
    this.evaluateReachability(now);
  }

  /** Whether so many machines of the zone are unreachable at once that the cause is unlikely to be the machines. */
  isWidespreadLoss(zoneIndex: number): boolean {
    if (!this.reachesWorkers || this.cutZones.has(zoneIndex)) return true;
    const health = this.healthByZone.get(zoneIndex);
    return health !== undefined && isLossWidespread(health);
  }

  /** Whether the machine is in a zone that is cut off from this controller. */
  isInCutZone(machine: Machine): boolean {
    return this.cutZones.has(machine.zoneIndex);
  }

  /** Whether the zone with this name is cut off from this controller. */
  isZoneNameCut(zone: string): boolean {
    return this.cutZones.has(this.context.clusterState.zoneNames.indexOf(zone));
  }

  /** Probes workers while none can be reached, to detect recovery. Called at each tick, even if no shard is held. */
  probeForRecovery(now: Milliseconds): void {
    if (this.reachesWorkers) return;
    // Without machines to probe, recovery can't be detected, and there is no machine that could be lost.
    if (!this.recoveryProbes.tick(now)) this.reachesWorkers = true;
  }

  /** Processes the outcome of a recovery probe. `isAnswered`: whether the worker responded. */
  handleProbeOutcome(id: number, isAnswered: boolean): void {
    const hasRecovered = this.recoveryProbes.handleOutcome(id, isAnswered);
    if (!hasRecovered || this.reachesWorkers) return;
    this.reachesWorkers = true;
    this.unreachableSince = null;
    this.noResponseSince = null;
    this.workerResponses.forgetUnanswered();
    for (const machine of this.context.clusterState.machines.values()) machine.tenure.unansweredCommands = 0;
    this.context.log('info', 'workers reachable again');
  }

  /**
   * Whether a machine may be released for a silence of `silentMs`. Some worker must have responded recently. Otherwise this
   * controller may be cut off from all workers: in one such partition of 30 s, it released 115 live machines. Without a recent
   * response, this method requests probes of machines whose heartbeats arrive at this or another controller. If there are none,
   * twice the tolerated silence is required.
   */
  confirmSilence(now: Milliseconds, silentMs: Milliseconds): boolean {
    const { workers, policy } = this.context.settings;
    const sinceResponseMs = now - this.workerResponses.lastResponseAt;
    if (sinceResponseMs < RESPONSE_FRESH_INTERVALS * 1000 * workers.heartbeatIntervalS) return true;
    return this.probeHealthy(now) === 0 && silentMs > UNCONFIRMED_SILENCE_FACTOR * 1000 * policy.silentS;
  }

  /**
   * Tracks since when no worker responds. When such a period ends after `NO_RESPONSE_LIMIT_MS` or more, restarts the silence of
   * all machines of the held shards, since this controller may have been cut off.
   */
  private evaluateResponses(now: Milliseconds): void {
    if (this.isNoWorkerResponding(now)) {
      if (this.noResponseSince === null) this.noResponseSince = now;
      // Probes are requested at once, because the suspicion is decided before `confirmSilence` considers the last response too
      // old, and healthy machines aren't probed otherwise.
      this.probeHealthy(now);
      return;
    }
    const suspicionMs = this.noResponseSince === null ? 0 : now - this.noResponseSince;
    this.noResponseSince = null;
    // If probed machines responded promptly, this controller was not cut off, so the silence of other machines counts.
    if (suspicionMs < NO_RESPONSE_LIMIT_MS) return;
    for (const machine of this.context.clusterState.machines.values())
      if (this.allocations.heldShards.has(machine.shard)) this.restartSilence(machine, now);
  }

  private isNoWorkerResponding(now: Milliseconds): boolean {
    const { unansweredCount, lastResponseAt } = this.workerResponses;
    return unansweredCount >= MIN_UNANSWERED_MACHINES && now - lastResponseAt > NO_RESPONSE_SUSPICION_MS;
  }

  private computeZoneHealth(now: Milliseconds): ReadonlyMap<number, ZoneHealth> {
    const zones = new Map<number, ZoneHealth>();
    for (const { shard, zoneIndex, tenure } of this.context.clusterState.machines.values()) {
      // A machine that was not probed since a takeover is no evidence about its zone.
      if (!this.allocations.heldShards.has(shard) || (!tenure.isVerified && !tenure.isProbed)) continue;
      let health = zones.get(zoneIndex);
      if (health === undefined) {
        health = { total: 0, inContact: 0, unanswered: 0 };
        zones.set(zoneIndex, health);
      }
      health.total++;
      if (tenure.unansweredCommands >= UNANSWERED_AFTER_COMMANDS) health.unanswered++;
      if (now - tenure.lastHeartbeatAt < RECENT_HEARTBEAT_MS) health.inContact++;
    }
    return zones;
  }

  /**
   * Updates which zones are cut off. When a partition ends, workers need a moment to return from the controller that responded to
   * them in the meantime, so the silence of the zone's machines restarts.
   */
  private evaluateZones(now: Milliseconds): void {
    const { clusterState } = this.context;
    for (const [zoneIndex, health] of this.healthByZone) {
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
   * Detects that this controller can't reach workers, not even those of its own zone. Its shards are then released, since another
   * controller may reach the workers, and recovery probes detect when this controller can reach workers again.
   */
  private evaluateReachability(now: Milliseconds): void {
    if (!this.reachesWorkers) return;
    const { clusterState, settings } = this.context;
    const health = referenceHealth(this.healthByZone, clusterState.zoneNames.indexOf(settings.zone));
    const seemsCutOff = isNearlyAllUnanswered(health);
    if (!seemsCutOff && this.noResponseSince === null) {
      this.unreachableSince = null;
      return;
    }
    this.unreachableSince ??= seemsCutOff ? now : (this.noResponseSince ?? now);
    if (now - this.unreachableSince < NO_RESPONSE_LIMIT_MS) return;
    this.reachesWorkers = false;
    this.recoveryProbes.begin(now);
    this.context.log('warn', 'workers unreachable', { lost: health.unanswered, of: health.total });
  }

  /** Requests probes of healthy machines, up to `MAX_HEALTHY_PROBES`. Returns how many healthy machines it found, up to that. */
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
      hasRecentContact(machine, now)
    );
  }

  /**
   * Restarts the silence of a machine, because this controller may have caused it. For a machine that hasn't responded since its
   * shard was taken over, up to half of the tolerated silence stays counted, because the machine blocks work of the shard.
   */
  private restartSilence({ tenure }: Machine, now: Milliseconds): void {
    const halfSilenceMs = (this.context.settings.policy.silentS * 1000) / 2;
    tenure.lastHeartbeatAt = tenure.isVerified ? now : Math.max(tenure.lastHeartbeatAt, now - halfSilenceMs);
    tenure.unansweredCommands = Math.min(tenure.unansweredCommands, 1);
    tenure.unansweredSince = tenure.unansweredCommands > 0 ? now : null;
  }
}
