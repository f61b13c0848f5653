import type { Heartbeat, TaskStatus, UnchangedHeartbeat } from '@archpost/protocol';
import { type TaskAllocations, taskKey } from '../allocation/task-allocations.js';
import type { ControllerContext } from '../context/index.js';
import type { Allocation, Machine, Milliseconds } from '../model/index.js';
import { CANCELLED_WORK_PRIORITY } from '../model/priorities.js';
import type { ProgressWriter } from '../shards/progress-writer.js';
import { StateKey } from '../state/keys.js';

/** A worker numbers its reports, two a second at most, and its answers to questions and commands. */
const MESSAGES_PER_S = 10;
const MESSAGES_AT_ONCE = 200;

/** What workers say, taken for what it is worth. */
export class HeartbeatReconciler {
  constructor(
    private readonly context: ControllerContext,
    private readonly allocations: TaskAllocations,
    private readonly progressWriter: ProgressWriter,
  ) {}

  /**
   * Takes a worker's report. Copies can come late, so only one newer by (session, seq)
   * counts, and right after a takeover, when nothing is known of what came before, none at
   * all: then only the answer to our own question (`asked`: what was known when it was
   * sent) does. A start under way isn't refuted by a report: it may have been made before it.
   */
  reconcile(m: Machine, r: Heartbeat, now: Milliseconds, asked: { agentEpoch: number; sequence: number } | null = null): void {
    this.allocations.now = now;
    const older = (a: { agentEpoch: number; sequence: number }) =>
      r.agentEpoch < a.agentEpoch || (r.agentEpoch === a.agentEpoch && r.sequence <= a.sequence);
    if (asked !== null && older(asked)) {
      // An answer is newer than what was known when it was asked for, unless the machine has
      // begun again: then nothing that was there is there any more.
      this.context.log('info', 'machine began again', { machine: m.name });
      for (const p of [...m.allocations.values()]) if (p.phase !== 'planned') this.allocations.free(p);
      m.agentEpoch = 0;
      m.sequence = -1;
    } else if (asked === null && !m.isVerified) {
      // Which session to ask is all that can be learned from it.
      if (r.agentEpoch > m.agentEpoch) m.agentEpoch = r.agentEpoch;
      // ... and, for what it is worth, how urgent its answer is.
      for (const t of r.tasks) m.reportedPriority = Math.max(m.reportedPriority, this.reportedPriorityOf(t.job));
      return;
    } else if (older(m)) {
      // A late copy, or a machine that began again: its answer will tell.
      if (asked === null) this.requestProbe(m, now);
      return;
    }
    // A number so high can't be the next of what is known: a late copy of from before the machine began
    // again, or much was said elsewhere. It frees and finishes nothing before the machine itself has answered.
    if (asked === null && this.isImplausible(m, r.sequence, now)) {
      this.requestProbe(m, now);
      return;
    }
    // It has said something that didn't come here: perhaps our answers don't reach it.
    if (asked === null && r.agentEpoch === m.agentEpoch && r.sequence > m.sequence + 1) this.requestProbe(m, now);
    if (r.address) m.address = r.address;
    m.lastHeartbeatAt = now;
    if (m.releaseReason === 'silent' && !m.isReleasing) m.releaseReason = '';
    if (r.agentEpoch > m.agentEpoch) {
      if (m.agentEpoch > 0) {
        // Its lease ran out: it has killed and forgotten everything. Starts sent to the
        // old session can't be executed in the new one.
        const lost = [...m.allocations.values()].filter((p) => p.phase !== 'planned');
        if (lost.length > 0) this.context.log('info', 'lease of a machine ran out', { machine: m.name, tasks: lost.length });
        for (const p of lost) this.allocations.free(p);
      }
      m.agentEpoch = r.agentEpoch;
    }
    m.sequence = r.sequence;
    if (r.preemptionNoticeS !== null && m.preemptionNoticeUntil < 0) {
      m.preemptionNoticeUntil = now + r.preemptionNoticeS * 1000;
      this.context.log('info', 'spot notice', { machine: m.name, seconds: r.preemptionNoticeS });
      this.allocations.drain(m);
    }
    const seen = new Set<string>();
    m.orphanedTasks = [];
    for (const t of r.tasks) {
      const key = taskKey(t.job, t.index, t.attempt);
      seen.add(key);
      const p = m.allocations.get(key) ?? this.adoptTask(m, t, now);
      if (!p) {
        m.orphanedTasks.push(t);
        m.allocationsChanged();
        continue;
      }
      this.reconcileTask(p, t, now);
    }
    for (const [key, p] of [...m.allocations]) {
      if (seen.has(key) || p.phase === 'planned' || p.phase === 'sent') continue;
      // What runs never leaves the reports of its session by itself. Where it is missing the machine began
      // again, or this is a copy of something older: the answer to our own question tells which.
      if (asked === null && p.phase === 'there') this.requestProbe(m, now);
      else this.allocations.free(p);
    }
  }

  /** How urgent it is to learn of a job's task: what is cancelled has to be gone in time. */
  private reportedPriorityOf(id: string): number {
    const { finishedJobs: finals, jobs } = this.context.clusterState;
    return finals.get(id) === 'cancelled' ? CANCELLED_WORK_PRIORITY : (jobs.get(id)?.priority ?? -1);
  }

  /** More than a worker can have said since it was last heard. */
  private isImplausible(m: Machine, seq: number, now: Milliseconds): boolean {
    return m.sequence >= 0 && seq - m.sequence > MESSAGES_AT_ONCE + (MESSAGES_PER_S * (now - m.lastHeartbeatAt)) / 1000;
  }

  /** A keeper says that a machine's reports go on as they were. */
  reconcileUnchanged(h: UnchangedHeartbeat, from: string, now: Milliseconds): void {
    const m = this.context.clusterState.machines.get(h.machine);
    if (!m || !this.allocations.holdsShard(m.shard, now)) return;
    // What is older than what came here is a late copy there.
    if (m.isVerified && (h.agentEpoch < m.agentEpoch || (h.agentEpoch === m.agentEpoch && h.sequence < m.sequence))) return;
    m.heardByPeerAt = now;
    // It goes from one to the next: perhaps nobody's answers reach it. One that stays is answered.
    if (m.heardByPeer !== from && m.heardByPeer !== '') this.requestProbe(m, now);
    m.heardByPeer = from;
    if (!m.isVerified || h.agentEpoch !== m.agentEpoch || h.sequence <= m.sequence) return;
    if (m.sequence < h.forwardedSequence || this.isImplausible(m, h.sequence, now)) {
      // The report that it refers to did not come here.
      this.requestProbe(m, now);
      return;
    }
    m.sequence = h.sequence;
    m.lastHeartbeatAt = now;
    if (m.releaseReason === 'silent' && !m.isReleasing) m.releaseReason = '';
  }

  /** Asks the machine how it stands, now and then. */
  requestProbe(m: Machine, now: Milliseconds): void {
    if (now - m.probeRequestedAt < this.context.settings.workers.heartbeatIntervalS * 2000) return;
    m.probeRequestedAt = now;
    m.probeRequested = true;
  }

  /** A task found on a machine that we have no record of: an earlier holder's work. */
  private adoptTask(m: Machine, t: TaskStatus, now: Milliseconds): Allocation | null {
    const job = this.context.clusterState.restoreJob(t.job, this.context.replica.get(StateKey.job(t.job)), now);
    if (!job) return null;
    if (job.shard !== m.shard || t.index >= job.spec.tasks) return null;
    if (job.allocations.has(t.index)) {
      const other = job.allocations.get(t.index) as Allocation;
      if (other.phase === 'planned') this.allocations.free(other);
      else return null;
    }
    const p = this.allocations.allocate(job, t.index, t.attempt, m, 'there', now);
    if (job.spec.shape === 'gang') {
      if (job.gangAttempt === 0) job.gangAttempt = t.attempt;
      if (job.gangAttempt !== t.attempt) this.allocations.failGang(job);
      if (job.gangFailed) this.allocations.stop(p, 0);
    }
    if (job.state === 'cancelled') this.allocations.stop(p, 0);
    return p;
  }

  private reconcileTask(p: Allocation, t: TaskStatus, now: Milliseconds): void {
    const was = p.status?.state;
    p.status = t;
    const m = p.machine;
    const j = p.job;
    if (t.state !== 'exited') {
      p.phase = 'there';
      if (t.state === 'running' && was !== 'running') {
        p.runningSince = now;
        const sec = (a: Milliseconds, b: Milliseconds) => Math.round((b - a) / 100) / 10;
        this.context.log('debug', 'task runs', {
          task: `${j.spec.id}/${p.taskIndex}`,
          cls: j.spec.cls,
          machine: m.name,
          type: m.capacity?.name,
          sinceSubmit: sec(j.arrivedAt, now),
          sincePlan: sec(p.plannedAt, now),
          gb: j.spec.imageGb,
          cached: m.images.has(j.imageIndex),
        });
        const fresh = !m.images.has(j.imageIndex);
        m.images.delete(j.imageIndex);
        m.images.set(j.imageIndex, j.spec.imageGb);
        this.trimImages(m);
        if (fresh) this.progressWriter.scheduleImageWrite(m);
      }
      return;
    }
    if (p.phase === 'exited') return;
    p.phase = 'exited';
    p.machine.allocationsChanged();
    this.allocations.schedulingRequested = true;
    if (t.exitReason === 'done') {
      if (p.runningSince >= 0) j.longestRunS = Math.max(j.longestRunS, (now - p.runningSince) / 1000);
      this.allocations.failureAttribution.recordSuccess(p);
      this.progressWriter.markDone(j, p.taskIndex);
      return;
    }
    if (t.exitReason === 'stopped' && p.stopGraceS === null) j.stoppedByOthersAt = now;
    if (t.exitReason === 'error') this.allocations.failureAttribution.recordFailure(p, now);
    if (t.exitReason === 'unknown') j.retryAt = now + 1000;
    if (t.exitReason === 'no_room') m.retryAt = Math.max(m.retryAt, now + 500);
    if (t.exitReason !== 'stopped') {
      this.context.log('debug', 'task ended', { task: `${j.spec.id}/${p.taskIndex}`, machine: m.name, why: t.exitReason });
    }
    if (j.spec.shape === 'gang' && j.state === 'live' && j.doneCount < j.spec.tasks) this.allocations.failGang(j);
  }

  /** What the machine surely keeps: the most recently used images that fit its cache. */
  private trimImages(m: Machine): void {
    let sum = 0;
    for (const gb of m.images.values()) sum += gb;
    for (const [i, gb] of m.images) {
      if (sum <= (m.capacity?.cacheGb ?? 0)) break;
      m.images.delete(i);
      sum -= gb;
    }
  }
}
