/**
 * Start deadlines: the time by which a job should start so that the service-level objectives of its class, its own deadline
 * and the deadlines of its dependents can still be met. Owns the objectives of the settings, grouped by job class.
 */
import type { ClusterStateView, SettingsView } from '../context/index.js';
import { appendTo, type Job, type Milliseconds, type Objective } from '../model/index.js';
import { expectedDurationMs } from '../state/index.js';

/** An objective still counts as attainable for this long after its start deadline. */
const ATTAINABLE_GRACE_MS = 1000;

/**
 * Time from `eligibleAt` to the start deadline of a job that has missed all objectives of its class: such a job is due after all
 * other jobs.
 */
const MISSED_ALL_OBJECTIVES_DELAY_MS = 1e7;

/** The deadline, in seconds, of a job that has neither objectives nor a deadline of its own. */
const DEFAULT_DEADLINE_S = 600;

/** An objective for the time since `eligibleAt`, the start of a job's waiting time. */
interface TimeObjective {
  /** `wait`: the job's tasks run within the time; `finished`: they are done within the time */
  readonly kind: 'wait' | 'finished';
  readonly withinMs: Milliseconds;
}

/** Computes start deadlines from the objectives in the settings. */
export class StartDeadlines {
  private readonly timeObjectives = new Map<string, TimeObjective[]>();
  /** by job class, one for each deadline objective: the multiple of the time to its deadline that a job may take */
  private readonly deadlineMultiples = new Map<string, number[]>();
  /** the multiples of all classes, since the class of the job that a deadline is inherited from isn't known */
  private readonly inheritedMultiples: readonly number[];

  constructor(private readonly context: SettingsView & ClusterStateView) {
    for (const objective of context.settings.objectives) this.addObjective(objective);
    const multiples = new Set([...this.deadlineMultiples.values()].flat());
    this.inheritedMultiples = multiples.size > 0 ? [...multiples] : [1];
  }

  private addObjective({ jobClass, kind, withinS, deadlineMultiple }: Objective): void {
    if (jobClass === null) return;
    if (kind === 'deadline') appendTo(this.deadlineMultiples, jobClass, deadlineMultiple ?? 1);
    if (withinS !== null && (kind === 'wait' || kind === 'finished'))
      appendTo(this.timeObjectives, jobClass, { kind, withinMs: withinS * 1000 });
  }

  /**
   * Returns the first of the job's start deadlines that can still be met. If there is none, returns `eligibleAt` plus
   * `MISSED_ALL_OBJECTIVES_DELAY_MS` if the job's class has time objectives, or else plus the job's own deadline or the default.
   */
  startDeadlineOf(job: Job, now: Milliseconds): Milliseconds {
    return this.attainableStartDeadlines(job, now)[0] ?? this.fallbackDeadline(job);
  }

  /** Returns the time by which the job's last task should start, for each objective that can still be met, soonest first. */
  attainableStartDeadlines(job: Job, now: Milliseconds): Milliseconds[] {
    const imageFetchMs = job.spec.imageSizeGb * 1000;
    const runMs = job.expectedRunMs;
    const result: Milliseconds[] = [];
    const addIfAttainable = (at: Milliseconds) => {
      if (at > now - ATTAINABLE_GRACE_MS) result.push(at);
    };
    for (const { kind, withinMs } of this.timeObjectives.get(job.spec.jobClass) ?? [])
      addIfAttainable(job.eligibleAt + withinMs - (kind === 'wait' ? imageFetchMs : runMs + imageFetchMs));
    for (const at of this.startsForDeadlines(job)) addIfAttainable(at);
    return result.sort((a, b) => a - b);
  }

  /**
   * Returns the times by which the job should start to meet its own deadline, if its class has objectives about deadlines, or
   * the deadlines of its dependents. Stored deadlines are times of day; the result is on the clock of the inputs.
   */
  private startsForDeadlines(job: Job): Milliseconds[] {
    const ownMultiples = this.deadlineMultiples.get(job.spec.jobClass);
    const isInherited = job.effectiveDeadlineAt < job.deadlineAt;
    if (ownMultiples === undefined && !isInherited) return [];
    const startBy = job.effectiveDeadlineAt - this.context.clusterState.wallClockOffsetMs - expectedDurationMs(job);
    const multiples = isInherited ? this.inheritedMultiples : (ownMultiples ?? [1]);
    return multiples.map((multiple) => startBy + (multiple - 1) * job.effectiveDeadlineSpanMs);
  }

  private fallbackDeadline(job: Job): Milliseconds {
    if (this.timeObjectives.has(job.spec.jobClass)) return job.eligibleAt + MISSED_ALL_OBJECTIVES_DELAY_MS;
    return job.eligibleAt + (job.spec.deadlineS ?? DEFAULT_DEADLINE_S) * 1000;
  }
}
