/**
 * Finds out when workers can be reached from here again. A controller that can't reach them gives its shards away, and then has
 * no command whose answer would show it: so it probes a few machines, round by round. Owns the rounds.
 */
import type { ClusterStateView, EffectSink, SettingsView } from '../context/index.js';
import type { Machine, Milliseconds } from '../model/index.js';

/** Machines probed in one round. */
const PROBES_PER_ROUND = 4;

/** A round begins this long after the one before, once all of that one's probes have an outcome. */
const PROBE_ROUND_INTERVAL_MS = 1500;

/** This many answers in a row, more than one round gives, show recovery: a shard that comes back must not leave again at once. */
const ANSWERS_TO_RECOVER = 6;

/** Machines of this controller's own zone are probed if there are this many. */
const MIN_MACHINES_OF_OWN_ZONE = 3;

/** The machines that were probed at once, by their outcomes. */
interface ProbeRound {
  answered: number;
  /** names of the machines that did not answer */
  silent: string[];
}

/** What the probes need of their controller. */
type RecoveryProbesContext = SettingsView & ClusterStateView & EffectSink;

/** Probes workers while none is known to be reachable from here. */
export class RecoveryProbes {
  /** names of the machines probed in this round that have no outcome yet, by effect id */
  private readonly pendingProbes = new Map<number, string>();
  private round: ProbeRound = { answered: 0, silent: [] };
  private roundCount = 0;
  private nextRoundAt: Milliseconds = 0;
  private consecutiveAnswers = 0;
  /** machines that were silent while others of their round answered */
  private readonly individuallySilent = new Set<string>();

  constructor(private readonly context: RecoveryProbesContext) {}

  /** Workers can't be reached from here from now on: answers of before don't count. */
  begin(now: Milliseconds): void {
    this.consecutiveAnswers = 0;
    this.individuallySilent.clear();
    this.nextRoundAt = now;
  }

  /** Begins a round if one is due. False: there is no machine that could be probed. */
  tick(now: Milliseconds): boolean {
    if (now < this.nextRoundAt || this.pendingProbes.size > 0) return true;
    this.nextRoundAt = now + PROBE_ROUND_INTERVAL_MS;
    const machines = this.probeableMachines();
    const others = machines.filter((machine) => !this.individuallySilent.has(machine.name));
    this.startRound(others.length >= PROBES_PER_ROUND ? others : machines);
    return machines.length > 0;
  }

  /** Returns whether enough machines have answered in a row. */
  handleOutcome(id: number, isAnswered: boolean): boolean {
    const name = this.pendingProbes.get(id);
    if (name === undefined) return false;
    this.pendingProbes.delete(id);
    this.consecutiveAnswers = isAnswered ? this.consecutiveAnswers + 1 : 0;
    if (isAnswered) this.round.answered++;
    else this.round.silent.push(name);
    if (this.pendingProbes.size === 0) this.endRound();
    return this.consecutiveAnswers >= ANSWERS_TO_RECOVER;
  }

  private probeableMachines(): Machine[] {
    const { clusterState, settings } = this.context;
    const ownZone = clusterState.zoneNames.indexOf(settings.zone);
    const all = [...clusterState.machines.values()].filter((machine) => machine.address !== '');
    const ofOwnZone = all.filter((machine) => machine.zoneIndex === ownZone);
    return ofOwnZone.length >= MIN_MACHINES_OF_OWN_ZONE ? ofOwnZone : all;
  }

  /** Machines from all over the list, others each time. */
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
   * Where others of its round answer, a machine's silence is its own, and it isn't probed again. With a third of all machines
   * dead the same four were probed for ever, and nobody released the dead ones meanwhile (docs/incidents/
   * a-third-lost-during-a-takeover.md).
   */
  private endRound(): void {
    if (this.round.answered < this.round.silent.length) return;
    for (const name of this.round.silent) this.individuallySilent.add(name);
  }
}
