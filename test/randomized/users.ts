/** The users of a randomized simulation: they submit, query and cancel jobs, and check the responses for consistency. */
import type { JobSpec } from '@archpost/protocol';
import { job, type SimulatedCluster, type SimulatedController } from '../simulation/index.js';
import type { Random } from './random.js';

/** The state of a job according to the responses that users received from all controllers. */
export interface TrackedJob {
  accepted: boolean;
  /** the final status that a response reported; null: none did */
  finalStatus: 'done' | 'aborted' | null;
  cancelRequested: boolean;
  /** time of the last response about the job */
  lastResponseAt: number;
}

const TEAMS = ['red', 'blue', 'green'] as const;

/** Rates of additional submissions. */
export interface UserLoad {
  /** chains of four to seven jobs, submitted one after another */
  chainsPerS: number;
  /** jobs with a single task */
  singlesPerS: number;
  /** share of the single-task jobs and of the chains that are cancelled; a chain is cancelled at a random job */
  cancelledShare: number;
}

/** Optional behavior of users. */
export interface UserOptions {
  /** whether some jobs have dependencies */
  pipelines?: boolean;
  /** additional submissions at these rates */
  load?: UserLoad;
}

/** Jobs that depend on each other, submitted one after another. */
interface Chain {
  ids: string[];
  /** final number of jobs */
  length: number;
  team: string;
}

/** Several users who send their requests to random controllers. */
export class SimulatedUsers {
  readonly trackedJobs = new Map<string, TrackedJob>();
  private jobCount = 0;
  private chains: Chain[] = [];
  private readonly toCancel = new Set<string>();

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly random: Random,
    private readonly options: UserOptions,
    /** whether all controllers run the current version; before that users request no new feature */
    private readonly mayUseNewFeatures: () => boolean,
  ) {}

  private anyController(): SimulatedController | undefined {
    const up = this.cluster.controllers.filter((node) => node.up);
    return up.length > 0 ? this.random.pick(up) : undefined;
  }

  /** Checks a response against the tracked state of the job when the request was sent (`before`). */
  private recordResponse(id: string, before: TrackedJob, status: number, state: string): void {
    if (status === 503 || status === 429) return;
    const tracked = this.trackedJobs.get(id) as TrackedJob;
    tracked.lastResponseAt = this.cluster.now;
    if (before.accepted && (status === 404 || status === 400 || status === 422))
      this.cluster.fail(`forgotten: ${id} got status code ${status}`);
    // Simulated users submit only jobs that can run and dependencies that were accepted.
    if (status === 422) this.cluster.fail(`forgotten: ${id} was rejected`);
    if (status !== 200 && status !== 201) return;
    if (before.finalStatus && state !== before.finalStatus)
      this.cluster.fail(`went_back: ${id} was ${before.finalStatus}, is reported ${state}`);
    if (state === 'aborted' && !this.mayBeCancelled(id))
      this.cluster.fail(`went_back: ${id} reported cancelled, but no user cancelled it`);
    if (state === 'done' && !this.cluster.allTasksDone(id))
      this.cluster.fail(`not_done: ${id} is reported done with unfinished tasks`);
    if (state === 'done' || state === 'aborted') tracked.finalStatus = state;
    tracked.accepted = true;
    this.cluster.rules.recordReportedStatus(id, state);
  }

  /** Whether a user requested the cancellation of the job or of one of its direct or transitive dependencies. */
  private mayBeCancelled(id: string): boolean {
    return (
      this.trackedJobs.get(id)?.cancelRequested === true || this.dependencyIds(id).some((other) => this.mayBeCancelled(other))
    );
  }

  /** Whether a direct or transitive dependency of the job was reported cancelled. */
  hasCancelledDependency(id: string): boolean {
    return this.dependencyIds(id).some(
      (other) => this.trackedJobs.get(other)?.finalStatus === 'aborted' || this.hasCancelledDependency(other),
    );
  }

  private dependencyIds(id: string): string[] {
    return this.cluster.awaits.get(id) ?? [];
  }

  /** Gives half of the jobs up to three dependencies among the recently accepted jobs, in whatever state these are. */
  private chooseDependencies(id: string): void {
    if (!this.options.pipelines || !this.mayUseNewFeatures() || this.random.next() < 0.5) return;
    const recentJobs = [...this.trackedJobs]
      .filter(([other, candidate]) => candidate.accepted && this.cluster.specs.get(other)?.shape !== 'service')
      .slice(-8);
    if (recentJobs.length === 0) return;
    const names = Array.from({ length: 1 + this.random.below(3) }, () => this.random.pick(recentJobs)[0]);
    this.cluster.awaits.set(id, [...new Set(names)]);
  }

  request(kind: 'submit' | 'poll' | 'cancel', id: string, node = this.anyController()): void {
    const spec = this.cluster.specs.get(id);
    const tracked = this.trackedJobs.get(id);
    if (!node || !spec || !tracked) return;
    const before = { ...tracked };
    if (kind === 'cancel') tracked.cancelRequested = true;
    const then = (status: number, body: Record<string, unknown>) => this.recordResponse(id, before, status, String(body.status));
    if (kind === 'submit') node.submit(spec, then);
    else if (kind === 'poll') node.queryStatus(id, then);
    else node.cancel(id, then);
  }

  private submitRandomJob(): void {
    const id = `run-w${this.jobCount++}`;
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
    this.chooseDependencies(id);
    this.trackedJobs.set(id, { accepted: false, finalStatus: null, cancelRequested: false, lastResponseAt: this.cluster.now });
    this.request('submit', id);
  }

  /** Submits single-task jobs, and chains whose jobs are submitted as soon as the previous job is accepted. */
  private submitLoad({ chainsPerS, singlesPerS, cancelledShare }: UserLoad): void {
    const perStep = (rate: number) => this.random.next() < rate / 10;
    if (perStep(singlesPerS)) {
      const id = this.submitJob({
        tasks: 1,
        estimatedRunS: 2 + this.random.below(20),
        cpus: 1,
        memory: 1,
        priority: this.random.below(3),
      });
      if (this.random.next() < cancelledShare) this.cancelLater([id]);
    }
    if (this.mayUseNewFeatures() && perStep(chainsPerS)) {
      const ids: string[] = [];
      this.chains.push({ ids, length: 4 + this.random.below(4), team: this.random.pick(TEAMS) });
      if (this.random.next() < cancelledShare) this.cancelLater(ids);
    }
    for (const chain of this.chains) this.continueChain(chain);
    this.chains = this.chains.filter((chain) => chain.ids.length < chain.length);
  }

  /** Submits the next job of a chain. It depends on the previous job and possibly on one earlier job. */
  private continueChain({ ids, team }: Chain): void {
    const last = ids.at(-1);
    if (last !== undefined && !this.trackedJobs.get(last)?.accepted) {
      if (this.random.next() < 0.1) this.request('submit', last);
      return;
    }
    const awaits = last === undefined ? [] : [...new Set([last, this.random.pick(ids)])];
    const shape = this.random.next() < 0.2 ? 'gang' : 'array';
    ids.push(
      this.submitJob(
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

  private submitJob(over: Partial<JobSpec>, awaits: string[] = []): string {
    const id = `run-w${this.jobCount++}`;
    this.cluster.specs.set(id, job(id, { team: this.random.pick(TEAMS), ...over }));
    if (awaits.length > 0) this.cluster.awaits.set(id, awaits);
    this.trackedJobs.set(id, { accepted: false, finalStatus: null, cancelRequested: false, lastResponseAt: this.cluster.now });
    this.request('submit', id);
    return id;
  }

  /** Schedules the cancellation of a random job of `ids`, chosen among the ids that the list contains at that time. */
  private cancelLater(ids: string[]): void {
    this.cluster.runAt(this.cluster.now + 500 + 15_000 * this.random.next(), () => {
      const id = this.random.pick(ids);
      if (id !== undefined) this.toCancel.add(id);
    });
  }

  /** Repeats cancellation requests until each job has a final status, and queries the status of some active jobs. */
  private repeatRequests(): void {
    for (const id of this.toCancel) {
      if (this.trackedJobs.get(id)?.finalStatus !== null) this.toCancel.delete(id);
      else if (this.random.next() < 0.05) this.request('cancel', id);
    }
    const activeJobs = [...this.trackedJobs].filter(([, tracked]) => tracked.accepted && tracked.finalStatus === null);
    for (let index = 0; index < activeJobs.length / 50; index++) this.request('poll', this.random.pick(activeJobs)[0]);
  }

  /** Performs the user actions of one simulation step of 0.1 s. */
  step(): void {
    if (this.options.load) {
      this.submitLoad(this.options.load);
      this.repeatRequests();
    }
    if (this.random.next() < 0.1) this.submitRandomJob();
    const ids = [...this.trackedJobs.keys()];
    if (ids.length === 0) return;
    const recent = ids.slice(-12);
    if (this.random.next() < 0.2) this.request('poll', this.random.pick(recent));
    if (this.random.next() < 0.1) this.request('poll', this.random.pick(ids));
    // Sends requests for the same job to all controllers at once.
    if (this.random.next() < 0.1) {
      const id = this.random.pick(recent);
      for (const node of this.cluster.controllers)
        if (node.up) this.request(this.random.next() < 0.3 ? 'submit' : 'poll', id, node);
    }
    if (this.random.next() < 0.05) this.request('submit', this.random.pick(ids));
    if (this.random.next() < 0.025) this.request('cancel', this.random.pick(recent));
    // Repeats submissions that were not accepted and cancellations that were not confirmed.
    for (const id of recent) {
      const tracked = this.trackedJobs.get(id) as TrackedJob;
      if (!tracked.accepted && this.random.next() < 0.1) this.request('submit', id);
      if (tracked.cancelRequested && tracked.finalStatus === null && this.random.next() < 0.1) this.request('cancel', id);
    }
  }

  /** Cancels those of the last six submitted jobs that were accepted and have no final status. */
  cancelRecentJobs(): void {
    for (const [id, tracked] of [...this.trackedJobs].slice(-6))
      if (tracked.accepted && !tracked.finalStatus) this.request('cancel', id);
  }
}
