import type { PeerHeard, Report, TaskReport } from '@archpost/protocol';
import { taskKey, type Work } from '../allocation/task-allocations.js';
import type { Context } from '../context/index.js';
import type { Machine, Ms, Placement } from '../model/index.js';
import { ABOVE_ALL_RANKS } from '../model/priorities.js';
import type { Records } from '../shards/progress-writer.js';
import { KEY } from '../state/keys.js';

/** A worker numbers its reports, two a second at most, and its answers to questions and commands. */
const MESSAGES_PER_S = 10;
const MESSAGES_AT_ONCE = 200;

/** What workers say, taken for what it is worth. */
export class Reports {
  constructor(
    private readonly context: Context,
    private readonly work: Work,
    private readonly records: Records,
  ) {}

  /**
   * Takes a worker's report. Copies can come late, so only one newer by (session, seq)
   * counts, and right after a takeover, when nothing is known of what came before, none at
   * all: then only the answer to our own question (`asked`: what was known when it was
   * sent) does. A start under way isn't refuted by a report: it may have been made before it.
   */
  observe(m: Machine, r: Report, now: Ms, asked: { session: number; seq: number } | null = null): void {
    this.work.now = now;
    const older = (a: { session: number; seq: number }) => r.session < a.session || (r.session === a.session && r.seq <= a.seq);
    if (asked !== null && older(asked)) {
      // An answer is newer than what was known when it was asked for, unless the machine has
      // begun again: then nothing that was there is there any more.
      this.context.log('info', 'machine began again', { machine: m.name });
      for (const p of [...m.placements.values()]) if (p.phase !== 'planned') this.work.free(p);
      m.session = 0;
      m.seq = -1;
    } else if (asked === null && !m.resolved) {
      // Which session to ask is all that can be learned from it.
      if (r.session > m.session) m.session = r.session;
      // ... and, for what it is worth, how urgent its answer is.
      for (const t of r.tasks) m.bearsRank = Math.max(m.bearsRank, this.urgencyOf(t.job));
      return;
    } else if (older(m)) {
      // A late copy, or a machine that began again: its answer will tell.
      if (asked === null) this.doubt(m, now);
      return;
    }
    // A number so high can't be the next of what is known: a late copy of from before the machine began
    // again, or much was said elsewhere. It frees and finishes nothing before the machine itself has answered.
    if (asked === null && this.implausible(m, r.seq, now)) {
      this.doubt(m, now);
      return;
    }
    // It has said something that didn't come here: perhaps our answers don't reach it.
    if (asked === null && r.session === m.session && r.seq > m.seq + 1) this.doubt(m, now);
    if (r.addr) m.addr = r.addr;
    m.heardAt = now;
    if (m.giveBack === 'silent' && !m.returning) m.giveBack = '';
    if (r.session > m.session) {
      if (m.session > 0) {
        // Its lease ran out: it has killed and forgotten everything. Starts sent to the
        // old session can't be executed in the new one.
        const lost = [...m.placements.values()].filter((p) => p.phase !== 'planned');
        if (lost.length > 0) this.context.log('info', 'lease of a machine ran out', { machine: m.name, tasks: lost.length });
        for (const p of lost) this.work.free(p);
      }
      m.session = r.session;
    }
    m.seq = r.seq;
    if (r.noticeS !== null && m.noticeUntil < 0) {
      m.noticeUntil = now + r.noticeS * 1000;
      this.context.log('info', 'spot notice', { machine: m.name, seconds: r.noticeS });
      this.work.vacate(m);
    }
    const seen = new Set<string>();
    m.strays = [];
    for (const t of r.tasks) {
      const key = taskKey(t.job, t.index, t.attempt);
      seen.add(key);
      const p = m.placements.get(key) ?? this.adopt(m, t, now);
      if (!p) {
        m.strays.push(t);
        m.changed();
        continue;
      }
      this.taskSeen(p, t, now);
    }
    for (const [key, p] of [...m.placements]) {
      if (seen.has(key) || p.phase === 'planned' || p.phase === 'sent') continue;
      // What runs never leaves the reports of its session by itself. Where it is missing the machine began
      // again, or this is a copy of something older: the answer to our own question tells which.
      if (asked === null && p.phase === 'there') this.doubt(m, now);
      else this.work.free(p);
    }
  }

  /** How urgent it is to learn of a job's task: what is cancelled has to be gone in time. */
  private urgencyOf(id: string): number {
    const { finals, jobs } = this.context.table;
    return finals.get(id) === 'cancelled' ? ABOVE_ALL_RANKS : (jobs.get(id)?.rank ?? -1);
  }

  /** More than a worker can have said since it was last heard. */
  private implausible(m: Machine, seq: number, now: Ms): boolean {
    return m.seq >= 0 && seq - m.seq > MESSAGES_AT_ONCE + (MESSAGES_PER_S * (now - m.heardAt)) / 1000;
  }

  /** A keeper says that a machine's reports go on as they were. */
  unchanged(h: PeerHeard, from: string, now: Ms): void {
    const m = this.context.table.machines.get(h.machine);
    if (!m || !this.work.holds(m.share, now)) return;
    // What is older than what came here is a late copy there.
    if (m.resolved && (h.session < m.session || (h.session === m.session && h.seq < m.seq))) return;
    m.elsewhereAt = now;
    // It goes from one to the next: perhaps nobody's answers reach it. One that stays is answered.
    if (m.elsewhereBy !== from && m.elsewhereBy !== '') this.doubt(m, now);
    m.elsewhereBy = from;
    if (!m.resolved || h.session !== m.session || h.seq <= m.seq) return;
    if (m.seq < h.whole || this.implausible(m, h.seq, now)) {
      // The report that it refers to did not come here.
      this.doubt(m, now);
      return;
    }
    m.seq = h.seq;
    m.heardAt = now;
    if (m.giveBack === 'silent' && !m.returning) m.giveBack = '';
  }

  /** Asks the machine how it stands, now and then. */
  doubt(m: Machine, now: Ms): void {
    if (now - m.askedAt < this.context.settings.workers.reportS * 2000) return;
    m.askedAt = now;
    m.ask = true;
  }

  /** A task found on a machine that we have no record of: an earlier holder's work. */
  private adopt(m: Machine, t: TaskReport, now: Ms): Placement | null {
    const job = this.context.table.recall(t.job, this.context.replica.get(KEY.job(t.job)), now);
    if (!job) return null;
    if (job.share !== m.share || t.index >= job.spec.tasks) return null;
    if (job.placements.has(t.index)) {
      const other = job.placements.get(t.index) as Placement;
      if (other.phase === 'planned') this.work.free(other);
      else return null;
    }
    const p = this.work.place(job, t.index, t.attempt, m, 'there', now);
    if (job.spec.shape === 'gang') {
      if (job.gangAttempt === 0) job.gangAttempt = t.attempt;
      if (job.gangAttempt !== t.attempt) this.work.failGang(job);
      if (job.gangFailed) this.work.stop(p, 0);
    }
    if (job.state === 'cancelled') this.work.stop(p, 0);
    return p;
  }

  private taskSeen(p: Placement, t: TaskReport, now: Ms): void {
    const was = p.report?.state;
    p.report = t;
    const m = p.machine;
    const j = p.job;
    if (t.state !== 'exited') {
      p.phase = 'there';
      if (t.state === 'running' && was !== 'running') {
        p.ranSince = now;
        const sec = (a: Ms, b: Ms) => Math.round((b - a) / 100) / 10;
        this.context.log('debug', 'task runs', {
          task: `${j.spec.id}/${p.index}`,
          cls: j.spec.cls,
          machine: m.name,
          type: m.cap?.name,
          sinceSubmit: sec(j.arrivedAt, now),
          sincePlan: sec(p.plannedAt, now),
          gb: j.spec.imageGb,
          cached: m.images.has(j.image),
        });
        const fresh = !m.images.has(j.image);
        m.images.delete(j.image);
        m.images.set(j.image, j.spec.imageGb);
        this.trimImages(m);
        if (fresh) this.records.storeImages(m);
      }
      return;
    }
    if (p.phase === 'exited') return;
    p.phase = 'exited';
    p.machine.changed();
    this.work.wantPlan = true;
    if (t.why === 'done') {
      if (p.ranSince >= 0) j.ranS = Math.max(j.ranS, (now - p.ranSince) / 1000);
      this.work.blame.done(p);
      this.records.markDone(j, p.index);
      return;
    }
    if (t.why === 'stopped' && p.stop === null) j.stoppedElsewhereAt = now;
    if (t.why === 'error') this.work.blame.failed(p, now);
    if (t.why === 'unknown') j.notBefore = now + 1000;
    if (t.why === 'no_room') m.retryAt = Math.max(m.retryAt, now + 500);
    if (t.why !== 'stopped') {
      this.context.log('debug', 'task ended', { task: `${j.spec.id}/${p.index}`, machine: m.name, why: t.why });
    }
    if (j.spec.shape === 'gang' && j.state === 'live' && j.doneCount < j.spec.tasks) this.work.failGang(j);
  }

  /** What the machine surely keeps: the most recently used images that fit its cache. */
  private trimImages(m: Machine): void {
    let sum = 0;
    for (const gb of m.images.values()) sum += gb;
    for (const [i, gb] of m.images) {
      if (sum <= (m.cap?.cacheGb ?? 0)) break;
      m.images.delete(i);
      sum -= gb;
    }
  }
}
