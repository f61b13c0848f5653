/**
 * Detects when workers can be reached from this controller again. A controller that can't reach workers releases its shards and
 * then sends no commands whose responses would show recovery, so it probes a few machines in rounds. Owns the state of the
 * rounds.
 */
import type { ClusterStateView, EffectSink, SettingsView } from '../context/index.js';
import type { Machine, Milliseconds } from '../model/index.js';

/** Maximum number of machines probed in one round. */
const PROBES_PER_ROUND = 4;

/** Minimum interval between the starts of rounds. A round also waits until all probes of the previous one have an outcome. */
const PROBE_ROUND_INTERVAL_MS = 1500;

/**
 * Consecutive responses that count as recovery: more than one round has, so that reacquired shards aren't released again soon.
 */
const RESPONSES_TO_RECOVER = 6;

/** If this controller's own zone has at least this many machines, only those are probed. */
const MIN_MACHINES_OF_OWN_ZONE = 3;

/** The outcomes of the probes of one round. */
interface ProbeRound {
  answered: number;
  /** names of the machines that did not respond */
  silent: string[];
}

/** The parts of the controller's context that `RecoveryProbes` uses. */
type RecoveryProbesContext = SettingsView & ClusterStateView & EffectSink;

/** Probes workers while none is known to be reachable from this controller. */
export class RecoveryProbes {
  /** names of the machines whose probes in this round have no outcome yet, by effect id */
  private readonly pendingProbes = new Map<number, string>();
  private round: ProbeRound = { answered: 0, silent: [] };
  private roundCount = 0;
  private nextRoundAt: Milliseconds = 0;
  private consecutiveResponses = 0;
  /** names of machines that did not respond in a round in which at least half of the probed machines did */
  private readonly individuallySilent = new Set<string>();

  constructor(private readonly context: RecoveryProbesContext) {}

  /** Begins probing because workers can no longer be reached. Earlier responses don't count. */
  begin(now: Milliseconds): void {
    this.consecutiveResponses = 0;
    this.individuallySilent.clear();
    this.nextRoundAt = now;
  }

  /** Starts a round if one is due. Returns false if there is no machine to probe. */
  tick(now: Milliseconds): boolean {
    if (now < this.nextRoundAt || this.pendingProbes.size > 0) return true;
    this.nextRoundAt = now + PROBE_ROUND_INTERVAL_MS;
    const machines = this.probeableMachines();
    const candidates = machines.filter((machine) => !this.individuallySilent.has(machine.name));
    this.startRound(candidates.length >= PROBES_PER_ROUND ? candidates : machines);
    return machines.length > 0;
  }

  /** Processes the outcome of a probe. Returns whether enough consecutive probes were answered. */
  handleOutcome(id: number, isAnswered: boolean): boolean {
    const name = this.pendingProbes.get(id);
    if (name === undefined) return false;
    this.pendingProbes.delete(id);
    this.consecutiveResponses = isAnswered ? this.consecutiveResponses + 1 : 0;
    if (isAnswered) this.round.answered++;
    else this.round.silent.push(name);
    if (this.pendingProbes.size === 0) this.endRound();
    return this.consecutiveResponses >= RESPONSES_TO_RECOVER;
  }

  private probeableMachines(): Machine[] {
    const { clusterState, settings } = this.context;
    const ownZone = clusterState.zoneNames.indexOf(settings.zone);
    const all = [...clusterState.machines.values()].filter((machine) => machine.address !== '');
    const ofOwnZone = all.filter((machine) => machine.zoneIndex === ownZone);
    return ofOwnZone.length >= MIN_MACHINES_OF_OWN_ZONE ? ofOwnZone : all;
  }

  /** Probes machines spread evenly over the list, starting at a different offset in each round. */
  private startRound(machines: readonly Machine[]): void {
    this.round = { answered: 0, silent: [] };
    const offset = this.roundCount++;
    const count = Math.min(PROBES_PER_ROUND, machines.length);
    for (let index = 0; index < count; index++) {
      const machine = machines[Math.floor((index * machines.length) / PROBES_PER_ROUND + offset) % machines.length];
      if (machine === undefined) return;
      const id = this.context.nextEffectId();
      this.pendingProbes.set(id, machine.name);
      this.context.emit({ type: 'probe', id, address: machine.address });
    }
  }

  /**
   * If at least half of the round's probes were answered, the machines that didn't respond are at fault themselves, and are
   * excluded from later rounds while enough others remain. Without this, after a loss of a third of all machines, the same four
   * were probed indefinitely and the dead machines were not released (docs/incidents/a-third-lost-during-a-takeover.md).
   */
  private endRound(): void {
    if (this.round.answered < this.round.silent.length) return;
    for (const name of this.round.silent) this.individuallySilent.add(name);
  }
}
