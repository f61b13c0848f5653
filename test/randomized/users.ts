// The users of a walk: what they submit, ask and call off, and what they were told.
import type { JobSpec } from '@archpost/protocol';
import { job, type SimulatedCluster, type SimulatedController } from '../simulation/index.js';
import type { Random } from './random.js';

/** What users were told of a job, by whichever controller. */
export interface Told {
  accepted: boolean;
  final: 'done' | 'aborted' | null;
  cancelAsked: boolean;
  /** the last time that anybody got an answer about it */
  answeredAt: number;
}

const TEAMS = ['red', 'blue', 'green'] as const;

/** Work that comes at full rate. */
export interface UserLoad {
  /** chains of four to seven jobs, submitted one after another */
  chainsPerS: number;
  /** jobs of one task */
  singlesPerS: number;
  /** part of the singles that is cancelled, and of the chains, at any of their jobs */
  cancelled: number;
}

export interface UserOptions {
  /** jobs that await others */
  pipelines?: boolean;
  /** work at full rate, beside what users do anyway */
  load?: UserLoad;
}

/** Jobs that await one another, submitted one by one. */
interface Chain {
  ids: string[];
  /** how many there will be */
  length: number;
  team: string;
}

/** Several users, who come to any controller. */
export class SimulatedUsers {
  readonly told = new Map<string, Told>();
  private jobs = 0;
  private chains: Chain[] = [];
  private readonly toCancel = new Set<string>();

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly random: Random,
    private readonly options: UserOptions,
    /** nothing new is asked before all controllers have the present version */
    private readonly mayAskNewThings: () => boolean,
  ) {}

  private node(): SimulatedController | undefined {
    const up = this.cluster.controllers.filter((node) => node.up);
    return up.length > 0 ? this.random.pick(up) : undefined;
  }

  /** Compares an answer with what was told before it was asked for. */
  private hears(id: string, before: Told, status: number, said: string): void {
    if (status === 503 || status === 429) return;
    const told = this.told.get(id) as Told;
    told.answeredAt = this.cluster.now;
    if (before.accepted && (status === 404 || status === 400 || status === 422))
      this.cluster.broken(`forgotten: ${id} answered ${status}`);
    // No user of a walk submits what can't run, nor names what was never accepted.
    if (status === 422) this.cluster.broken(`forgotten: ${id} refused`);
    if (status !== 200 && status !== 201) return;
    if (before.final && said !== before.final) this.cluster.broken(`went_back: ${id} was ${before.final}, is called ${said}`);
    if (said === 'aborted' && !this.mayBeCancelled(id)) this.cluster.broken(`went_back: ${id} called cancelled, its user didn't`);
    if (said === 'done' && !this.cluster.allTasksDone(id)) this.cluster.broken(`not_done: ${id} is called done`);
    if (said === 'done' || said === 'aborted') told.final = said;
    told.accepted = true;
    this.cluster.rules.told(id, said);
  }

  /** Its user asked to cancel it, or one that it needs. */
  private mayBeCancelled(id: string): boolean {
    return this.told.get(id)?.cancelAsked === true || this.awaited(id).some((other) => this.mayBeCancelled(other));
  }

  /** A job that it needs was told to be cancelled. */
  needsCancelled(id: string): boolean {
    return this.awaited(id).some((other) => this.told.get(other)?.final === 'aborted' || this.needsCancelled(other));
  }

  private awaited(id: string): string[] {
    return this.cluster.awaits.get(id) ?? [];
  }

  /** Half of the jobs need a few of those that were accepted lately, in whatever state these are. */
  private chooseAwaited(id: string): void {
    if (!this.options.pipelines || !this.mayAskNewThings() || this.random.next() < 0.5) return;
    const known = [...this.told]
      .filter(([other, told]) => told.accepted && this.cluster.specs.get(other)?.shape !== 'service')
      .slice(-8);
    if (known.length === 0) return;
    const names = Array.from({ length: 1 + this.random.below(3) }, () => this.random.pick(known)[0]);
    this.cluster.awaits.set(id, [...new Set(names)]);
  }

  asks(kind: 'submit' | 'poll' | 'cancel', id: string, node = this.node()): void {
    const spec = this.cluster.specs.get(id);
    const told = this.told.get(id);
    if (!node || !spec || !told) return;
    const before = { ...told };
    if (kind === 'cancel') told.cancelAsked = true;
    const then = (status: number, body: Record<string, unknown>) => this.hears(id, before, status, String(body.status));
    if (kind === 'submit') node.submit(spec, then);
    else if (kind === 'poll') node.queryStatus(id, then);
    else node.cancel(id, then);
  }

  private newJob(): void {
    const id = `run-w${this.jobs++}`;
    const team = this.random.pick(TEAMS);
    const kind = this.random.next();
    const common = {
      team,
      priority: this.random.below(4),
      zone: this.random.next() < 0.1 ? this.random.pick(['east', 'west']) : null,
    };
    if (kind < 0.4)
      this.cluster.specs.set(
        id,
        job(id, { ...common, tasks: 1 + this.random.below(4), estimatedRunS: 1 + this.random.below(15) }),
      );
    else if (kind < 0.55)
      this.cluster.specs.set(
        id,
        job(id, {
          ...common,
          tasks: 1 + this.random.below(3),
          estimatedRunS: 60 + this.random.below(60),
          machineTypes: ['small'],
        }),
      );
    else if (kind < 0.7)
      this.cluster.specs.set(
        id,
        job(id, {
          ...common,
          zone: null,
          priority: 3,
          jobClass: 'serve',
          shape: 'service',
          tasks: 1 + this.random.below(2),
          spread: this.random.next() < 0.5,
        }),
      );
    else if (kind < 0.85)
      this.cluster.specs.set(
        id,
        job(id, { ...common, shape: 'gang', gpus: 8, cpus: 20, memory: 60, estimatedRunS: 5 + this.random.below(30) }),
      );
    else
      this.cluster.specs.set(
        id,
        job(id, {
          ...common,
          shape: 'gang',
          tasks: 2 + this.random.below(2),
          cpus: 2,
          estimatedRunS: 8,
          oneZone: this.random.next() < 0.5,
        }),
      );
    this.chooseAwaited(id);
    this.told.set(id, { accepted: false, final: null, cancelAsked: false, answeredAt: this.cluster.now });
    this.asks('submit', id);
  }

  /** Work at full rate: chains whose jobs are submitted as soon as those before are accepted, and jobs of one task. */
  private fullLoad({ chainsPerS, singlesPerS, cancelled }: UserLoad): void {
    const perStep = (rate: number) => this.random.next() < rate / 10;
    if (perStep(singlesPerS)) {
      const id = this.submitNew({
        tasks: 1,
        estimatedRunS: 2 + this.random.below(20),
        cpus: 1,
        memory: 1,
        priority: this.random.below(3),
      });
      if (this.random.next() < cancelled) this.cancelLater([id]);
    }
    if (this.mayAskNewThings() && perStep(chainsPerS)) {
      const ids: string[] = [];
      this.chains.push({ ids, length: 4 + this.random.below(4), team: this.random.pick(TEAMS) });
      if (this.random.next() < cancelled) this.cancelLater(ids);
    }
    for (const chain of this.chains) this.continueChain(chain);
    this.chains = this.chains.filter((chain) => chain.ids.length < chain.length);
  }

  /** The next job of a chain awaits one or two of those before it, the last of them among these. */
  private continueChain({ ids, team }: Chain): void {
    const last = ids.at(-1);
    if (last !== undefined && !this.told.get(last)?.accepted) {
      if (this.random.next() < 0.1) this.asks('submit', last);
      return;
    }
    const awaits = last === undefined ? [] : [...new Set([last, this.random.pick(ids)])];
    const shape = this.random.next() < 0.2 ? 'gang' : 'array';
    ids.push(
      this.submitNew(
        {
          team,
          shape,
          tasks: 1 + this.random.below(3),
          estimatedRunS: 1 + this.random.below(8),
          cpus: 1,
          memory: 1,
          priority: this.random.below(2),
        },
        awaits,
      ),
    );
  }

  private submitNew(over: Partial<JobSpec>, awaits: string[] = []): string {
    const id = `run-w${this.jobs++}`;
    this.cluster.specs.set(id, job(id, { team: this.random.pick(TEAMS), ...over }));
    if (awaits.length > 0) this.cluster.awaits.set(id, awaits);
    this.told.set(id, { accepted: false, final: null, cancelAsked: false, answeredAt: this.cluster.now });
    this.asks('submit', id);
    return id;
  }

  /** Any of the jobs that there are by then. */
  private cancelLater(ids: string[]): void {
    this.cluster.at(this.cluster.now + 500 + 15_000 * this.random.next(), () => {
      const id = this.random.pick(ids);
      if (id !== undefined) this.toCancel.add(id);
    });
  }

  /** Whoever wants a job cancelled asks until it is over; whoever waits for one asks now and then. */
  private persist(): void {
    for (const id of this.toCancel) {
      if (this.told.get(id)?.final !== null) this.toCancel.delete(id);
      else if (this.random.next() < 0.05) this.asks('cancel', id);
    }
    const open = [...this.told].filter(([, told]) => told.accepted && told.final === null);
    for (let index = 0; index < open.length / 50; index++) this.asks('poll', this.random.pick(open)[0]);
  }

  /** What users do in a tenth of a second. */
  step(): void {
    if (this.options.load) {
      this.fullLoad(this.options.load);
      this.persist();
    }
    if (this.random.next() < 0.1) this.newJob();
    const ids = [...this.told.keys()];
    if (ids.length === 0) return;
    const late = ids.slice(-12);
    if (this.random.next() < 0.2) this.asks('poll', this.random.pick(late));
    if (this.random.next() < 0.1) this.asks('poll', this.random.pick(ids));
    // Close looks: at all controllers at once.
    if (this.random.next() < 0.1) {
      const id = this.random.pick(late);
      for (const node of this.cluster.controllers) if (node.up) this.asks(this.random.next() < 0.3 ? 'submit' : 'poll', id, node);
    }
    if (this.random.next() < 0.05) this.asks('submit', this.random.pick(ids));
    if (this.random.next() < 0.025) this.asks('cancel', this.random.pick(late));
    // Whoever was not accepted, or not told that it is cancelled, asks again.
    for (const id of late) {
      const told = this.told.get(id) as Told;
      if (!told.accepted && this.random.next() < 0.1) this.asks('submit', id);
      if (told.cancelAsked && told.final === null && this.random.next() < 0.1) this.asks('cancel', id);
    }
  }

  /** All who submitted something lately that runs call it off. */
  cancelLately(): void {
    for (const [id, told] of [...this.told].slice(-6)) if (told.accepted && !told.final) this.asks('cancel', id);
  }
}
