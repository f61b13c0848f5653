import type { Command, PeerDemand, PeerHeard, PeerMachine, PeerShare, Report, TaskReport } from '@archpost/wire';
import type { Context } from './context.js';
import { type Job, type Machine, type Ms, type Need, type Placement, SCARCE_AFTER_S } from './model.js';
import { allowed, copies, domains, EPS, fits, placeGang, type Room, take, zoneAllows, zoneCounts } from './placement.js';
import { type JobRecord, KEY, packBits } from './table.js';

/** A share that this controller holds. */
interface Held {
  share: number;
  stamp: number;
  since: Ms;
}

/** What is seen of a zone's machines that are ours. */
interface ZoneView {
  all: number;
  /** heard lately */
  heard: number;
  /** do not answer commands */
  lost: number;
}

/** A machine's images are stored this long after one has come: others may follow. */
const IMAGES_DELAY_MS = 15_000;

/** A job's completed tasks are stored this often at most, and at once when all are. */
const PROGRESS_MS = 3000;

/** How often services of one machine are gathered elsewhere. */
const GATHER_MS = 4000;

/** A service that has run for this long may be moved; a machine that was emptied takes none for as long. */
const SETTLED_MS = 40_000;

/** What has no room is planned for again after this long, if nothing else happens. */
const REPLAN_MS = 600;

/** Places weighed by a plan for which planning pauses a millisecond. */
const WEIGHED_PER_MS = 25;

const NOTHING: Need = { cpus: 0, gpus: 0, memory: 0 };

/** Attempts carry the holding's stamp, so no two holders ever use the same one. */
const ATTEMPTS_PER_HOLDING = 1_000_000;

const taskKey = (job: string, index: number, attempt: number) => `${job}/${index}/${attempt}`;

/** Decisions for the shares held here: what starts where, what stops, what is stored. */
export class Owner {
  readonly held = new Map<number, Held>();
  private attempts = 1;
  private wantPlan = true;
  private unsettled = false;
  private plannedAt: Ms = -1e12;
  private nextPlanAt: Ms = -1e12;
  private lastTick: Ms = 0;
  private lastSummary: Ms = 0;
  private readonly commands = new Map<
    number,
    { machine: Machine; sent: Placement[]; probe: boolean; seen: { session: number; seq: number } }
  >();
  private readonly returns = new Map<number, Machine[]>();
  private nextReturnAt: Ms = 0;
  private readonly cutZones = new Set<number>();
  /** what is left without room after the last plan */
  private unmet: { job: Job; count: number; within: boolean }[] = [];
  private now: Ms = 0;

  constructor(private readonly cx: Context) {}

  planSoon(): void {
    this.wantPlan = true;
  }

  isMine(m: Machine): boolean {
    return this.held.has(m.share);
  }

  mayAct(share: number, now: Ms): boolean {
    return this.held.has(share) && this.cx.leaseValid(now);
  }

  // ---- holdings

  gained(share: number, stamp: number, now: Ms): void {
    this.held.set(share, { share, stamp, since: now });
    for (const m of this.cx.table.machines.values()) {
      if (m.share !== share) continue;
      this.resetMachine(m, now);
      this.cx.table.recallImages(m);
      m.suspect = true;
    }
    for (const j of this.cx.table.jobs.values()) if (j.share === share) this.resetJob(j);
    this.wantPlan = true;
  }

  lost(share: number): void {
    this.held.delete(share);
    for (const m of this.cx.table.machines.values()) {
      if (m.share !== share) continue;
      m.placements.clear();
      m.resolved = false;
    }
    for (const j of [...this.cx.table.jobs.values()]) {
      if (j.share !== share) continue;
      this.resetJob(j);
      this.cx.table.dropFinal(j);
    }
  }

  private resetMachine(m: Machine, now: Ms): void {
    m.placements.clear();
    m.strays = [];
    m.resolved = false;
    m.dirty = false;
    m.bumping = false;
    m.inflight = 0;
    m.retryAt = 0;
    m.session = 0;
    m.seq = -1;
    m.heardAt = now;
    m.lostCount = 0;
    m.lostSince = -1;
    m.giveBack = '';
    m.returning = false;
    m.noticeUntil = -1;
  }

  private resetJob(j: Job): void {
    j.placements.clear();
    j.cursor = 0;
    j.returned = [];
    j.gangAttempt = 0;
    j.gangFailed = false;
    j.progressQueued = false;
    j.progressDirty = true;
    j.finishQueued = false;
  }

  machineChanged(m: Machine, moved: boolean, now: Ms): void {
    if (m.share < 0) {
      this.machineGone(m);
      return;
    }
    if (moved) {
      // Came to, or left, a share: what was known of it here is of no worth any more. Only
      // machines seen empty are handed over, so it bears nothing unknown.
      this.machineGone(m);
      this.resetMachine(m, now);
      m.suspect = false;
    }
    this.wantPlan = true;
  }

  /** Left to another share, or gone from the grants: nothing of ours is on it. */
  private machineGone(m: Machine): void {
    for (const p of [...m.placements.values()]) this.free(p);
    m.placements.clear();
    this.wantPlan = true;
  }

  jobChanged(j: Job): void {
    if (!this.held.has(j.share)) {
      this.cx.table.dropFinal(j);
      return;
    }
    if (j.state === 'cancelled') {
      for (const p of [...j.placements.values()]) this.stop(p, 0);
      this.cx.table.dropFinal(j);
    }
    if (j.state === 'done') this.cx.table.dropFinal(j);
    this.wantPlan = true;
  }

  // ---- tasks and places

  private place(job: Job, index: number, attempt: number, m: Machine, phase: Placement['phase'], now: Ms): Placement {
    const p: Placement = {
      job,
      index,
      attempt,
      machine: m,
      phase,
      report: null,
      plannedAt: now,
      stop: null,
      stopSentAt: -1e12,
      stopSince: -1,
      ranSince: -1,
    };
    job.placements.set(index, p);
    m.placements.set(taskKey(job.spec.id, index, attempt), p);
    return p;
  }

  /** The task is surely no longer on the machine. */
  private free(p: Placement): void {
    p.machine.placements.delete(taskKey(p.job.spec.id, p.index, p.attempt));
    if (p.job.placements.get(p.index) === p) {
      p.job.placements.delete(p.index);
      if (!p.job.done[p.index]) p.job.returned.push(p.index);
    }
    if (p.machine.placements.size === 0) p.machine.idleSince = this.now;
    const j = p.job;
    if (j.spec.shape === 'gang' && j.gangAttempt !== 0) {
      if (j.state === 'live' && j.doneCount < j.spec.tasks) this.failGang(j);
      if (j.placements.size === 0) {
        j.gangAttempt = 0;
        j.gangFailed = false;
      }
    }
    this.cx.table.dropFinal(j);
    this.wantPlan = true;
  }

  /** A gang that lost a task is stopped whole and queued again. */
  private failGang(j: Job): void {
    if (j.gangFailed) return;
    j.gangFailed = true;
    for (const p of [...j.placements.values()]) if (p.phase !== 'exited') this.stop(p, 0);
  }

  private stop(p: Placement, graceS: number): void {
    if (p.phase === 'planned') {
      this.free(p);
      return;
    }
    if (p.phase === 'exited') return;
    if (p.stop === null || graceS < p.stop) {
      p.stop = graceS;
      p.stopSentAt = -1e12;
      p.job.lastStop = this.now;
    }
  }

  /** A checkpointing task gets time to save; others lose nothing by going at once. */
  private graceOf(j: Job): number {
    return j.spec.checkpointS > 0 ? j.spec.saveS + this.cx.settings.workers.gangPeerS : 0;
  }

  stopJob(j: Job): void {
    for (const p of [...j.placements.values()]) this.stop(p, this.graceOf(j));
  }

  // ---- reports

  /**
   * Takes a worker's report. Copies can come late, so only one newer by (session, seq)
   * counts, and right after a takeover, when nothing is known of what came before, none at
   * all: then only the answer to our own question (`asked`: what was known when it was
   * sent) does. A start under way isn't refuted by a report: it may have been made before it.
   */
  observe(m: Machine, r: Report, now: Ms, asked: { session: number; seq: number } | null = null): void {
    this.now = now;
    const older = (a: { session: number; seq: number }) => r.session < a.session || (r.session === a.session && r.seq <= a.seq);
    if (asked !== null && older(asked)) {
      // An answer is newer than what was known when it was asked for, unless the machine has
      // begun again: then nothing that was there is there any more.
      this.cx.log('info', 'machine began again', { machine: m.name });
      for (const p of [...m.placements.values()]) if (p.phase !== 'planned') this.free(p);
      m.session = 0;
      m.seq = -1;
    } else if (asked === null && !m.resolved) {
      // Which session to ask is all that can be learned from it.
      if (r.session > m.session) m.session = r.session;
      return;
    } else if (older(m)) {
      // A late copy, or a machine that began again: its answer will tell.
      if (asked === null) this.doubt(m, now);
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
        if (lost.length > 0) this.cx.log('info', 'lease of a machine ran out', { machine: m.name, tasks: lost.length });
        for (const p of lost) this.free(p);
      }
      m.session = r.session;
    }
    m.seq = r.seq;
    if (r.noticeS !== null && m.noticeUntil < 0) {
      m.noticeUntil = now + r.noticeS * 1000;
      this.cx.log('info', 'spot notice', { machine: m.name, seconds: r.noticeS });
      this.vacate(m);
    }
    const seen = new Set<string>();
    m.strays = [];
    for (const t of r.tasks) {
      const key = taskKey(t.job, t.index, t.attempt);
      seen.add(key);
      const p = m.placements.get(key) ?? this.adopt(m, t, now);
      if (!p) {
        m.strays.push(t);
        continue;
      }
      this.taskSeen(p, t, now);
    }
    for (const [key, p] of [...m.placements]) {
      if (!seen.has(key) && (p.phase === 'there' || p.phase === 'exited')) this.free(p);
    }
  }

  /** A keeper says that a machine's reports go on as they were. */
  unchanged(h: PeerHeard, now: Ms): void {
    const m = this.cx.table.machines.get(h.machine);
    if (!m || !this.mayAct(m.share, now)) return;
    m.elsewhereAt = now;
    if (!m.resolved || h.session !== m.session || h.seq <= m.seq) return;
    if (m.seq < h.whole) {
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
    if (now - m.askedAt < this.cx.settings.workers.reportS * 2000) return;
    m.askedAt = now;
    m.ask = true;
  }

  /** A task found on a machine that we have no record of: an earlier holder's work. */
  private adopt(m: Machine, t: TaskReport, now: Ms): Placement | null {
    let job = this.cx.table.jobs.get(t.job);
    if (!job) {
      const record = this.cx.replica.get(KEY.job(t.job))?.value as JobRecord | undefined;
      if (!record?.sp) return null;
      job = this.cx.table.makeJob(record.sp);
      job.state = record.s === 2 ? 'cancelled' : record.s === 1 ? 'done' : 'live';
      job.stamp = this.cx.replica.get(KEY.job(t.job))?.stamp ?? 0;
      this.cx.table.jobs.set(t.job, job);
    }
    if (job.share !== m.share || t.index >= job.spec.tasks) return null;
    if (job.placements.has(t.index)) {
      const other = job.placements.get(t.index) as Placement;
      if (other.phase === 'planned') this.free(other);
      else return null;
    }
    const p = this.place(job, t.index, t.attempt, m, 'there', now);
    if (job.spec.shape === 'gang') {
      if (job.gangAttempt === 0) job.gangAttempt = t.attempt;
      if (job.gangAttempt !== t.attempt) this.failGang(job);
      if (job.gangFailed) this.stop(p, 0);
    }
    if (job.state === 'cancelled') this.stop(p, 0);
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
        this.cx.log('debug', 'task runs', {
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
        if (fresh) this.storeImages(m);
      }
      return;
    }
    if (p.phase === 'exited') return;
    p.phase = 'exited';
    this.wantPlan = true;
    if (t.why === 'done') {
      if (p.ranSince >= 0) j.ranS = Math.max(j.ranS, (now - p.ranSince) / 1000);
      // What began before the last failure proves nothing about the machine since.
      if (p.ranSince > m.lastErrorAt) {
        m.errorJobs.clear();
        m.errorTasks = 0;
      }
      this.markDone(j, p.index);
      return;
    }
    if (t.why === 'error') this.taskFailed(p, now);
    if (t.why === 'unknown') j.notBefore = now + 1000;
    if (t.why === 'no_room') m.retryAt = Math.max(m.retryAt, now + 500);
    if (t.why !== 'stopped') {
      this.cx.log('debug', 'task ended', { task: `${j.spec.id}/${p.index}`, machine: m.name, why: t.why });
    }
    if (j.spec.shape === 'gang' && j.state === 'live' && j.doneCount < j.spec.tasks) this.failGang(j);
  }

  /** A restart would forget what the machines have at hand, and fetches can take a minute. */
  private storeImages(m: Machine): void {
    if (m.cacheQueued) return;
    m.cacheQueued = true;
    this.imagesDue.push({ m, at: this.now + IMAGES_DELAY_MS });
  }

  /** Several images of a machine in one write, and none while more urgent writes wait. */
  private writeImages(now: Ms): void {
    while (this.imagesDue.length > 0 && (this.imagesDue[0] as { at: Ms }).at <= now && this.cx.writer.length < 4) {
      const m = (this.imagesDue.shift() as { m: Machine }).m;
      if (this.held.has(m.share)) this.writeImagesOf(m);
      else m.cacheQueued = false;
    }
  }

  private readonly imagesDue: { m: Machine; at: Ms }[] = [];

  private writeImagesOf(m: Machine): void {
    const key = KEY.cache(m.name);
    this.cx.writer.add({
      key,
      value: () => this.cx.table.imagesOf(m),
      guard: this.cx.replica.get(key)?.stamp ?? 0,
      urgency: 4,
      until: this.now + 5_000,
      done: () => {
        m.cacheQueued = false;
      },
    });
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

  /** Faulty machines fail many jobs; bad jobs fail on many machines. */
  private taskFailed(p: Placement, now: Ms): void {
    const { job: j, machine: m } = p;
    j.errors.add(m.name);
    const badJob = j.errors.size >= 3 && j.doneCount === 0;
    if (badJob) {
      j.notBefore = now + Math.min(60_000, 2000 * 2 ** Math.min(6, j.errors.size - 3));
    } else {
      m.errorJobs.add(j.spec.id);
      m.lastErrorAt = now;
      if (j.doneCount > 0 && j.errors.size === 1) m.errorTasks++;
      if (j.spec.shape === 'gang') j.notBefore = now + 300;
    }
    this.cx.log('info', 'task failed', {
      task: `${j.spec.id}/${p.index}`,
      machine: m.name,
      jobMachines: j.errors.size,
      machineJobs: m.errorJobs.size,
    });
  }

  private faulty(m: Machine): boolean {
    return m.errorJobs.size >= 2 || m.errorTasks >= 3;
  }

  private markDone(j: Job, index: number): void {
    if (!j.done[index]) {
      j.done[index] = 1;
      j.doneCount++;
    }
    j.progressDirty = true;
    // A gang completes together: if one task is done, all are.
    if (j.spec.shape === 'gang') {
      j.done.fill(1);
      j.doneCount = j.spec.tasks;
    }
    this.storeProgress(j);
  }

  // ---- storing

  private also(share: number) {
    return [{ key: KEY.holding(share), stamp: this.held.get(share)?.stamp ?? -1 }];
  }

  private storeProgress(j: Job): void {
    const held = this.held.get(j.share);
    if (!held || j.state !== 'live') return;
    if (j.doneCount === j.spec.tasks && j.spec.shape !== 'service') {
      if (j.finishQueued) return;
      j.finishQueued = true;
      this.cx.writer.add({
        key: KEY.job(j.spec.id),
        value: () => ({ s: 1, t: j.wall, n: j.spec.tasks }),
        guard: j.stamp,
        also: this.also(j.share),
        urgency: 1,
        done: () => {
          j.finishQueued = false;
          this.wantPlan = true;
        },
      });
      return;
    }
    // Several completions in one write: until it is stored, the worker keeps the result.
    if (j.progressQueued || !j.progressDirty || this.now - j.progressAt < PROGRESS_MS) return;
    const size = this.cx.table.chunk;
    for (let k = 0; k * size < j.spec.tasks; k++) {
      const to = Math.min(j.spec.tasks, (k + 1) * size);
      let fresh = false;
      for (let i = k * size; i < to && !fresh; i++) fresh = j.done[i] === 1 && j.stored[i] === 0;
      if (!fresh) continue;
      const key = KEY.progress(j.spec.id, k);
      let snap = new Uint8Array(0);
      j.progressQueued = true;
      j.progressAt = this.now;
      this.cx.writer.add({
        key,
        value: () => {
          snap = j.done.slice(k * size, to);
          return packBits(j.done, k * size, to);
        },
        guard: this.cx.replica.get(key)?.stamp ?? 0,
        also: this.also(j.share),
        urgency: 3,
        done: (o) => {
          j.progressQueued = false;
          if (o === 'ok') for (let i = 0; i < snap.length; i++) if (snap[i]) j.stored[k * size + i] = 1;
        },
      });
      return;
    }
    j.progressDirty = false;
  }

  // ---- the tick

  tick(now: Ms): void {
    this.now = now;
    // Time that this process itself lost says nothing about the workers.
    const gap = now - this.lastTick;
    if (this.lastTick > 0 && gap > 800) {
      for (const m of this.cx.table.machines.values()) m.heardAt = Math.min(now, m.heardAt + gap - 300);
    }
    this.lastTick = now;
    this.seekReach(now);
    if (now - this.lastSummary > 10_000) {
      this.lastSummary = now;
      this.summary(now);
    }
    if (this.held.size === 0 || !this.cx.leaseValid(now)) return;
    this.watchJobs(now);
    this.watchMachines(now);
    this.writeImages(now);
    // What has no room looks for it now and then; what happens is planned for soon. A plan
    // that weighs many places is followed by a longer pause, so that reports never wait long.
    const again = this.unsettled && now - this.plannedAt >= REPLAN_MS;
    if ((this.wantPlan || again) && now >= this.nextPlanAt && now - this.cx.freshAt < this.staleMs()) {
      this.wantPlan = false;
      this.plannedAt = now;
      this.plan(now);
    }
    for (const m of this.cx.table.machines.values()) if (this.held.has(m.share)) this.flush(m, now);
  }

  /** What somebody reading the log wants to know first. */
  private summary(now: Ms): void {
    for (const share of this.held.keys()) {
      const s = this.share(share, now);
      const types: Record<string, string> = {};
      const by = new Map<string, { n: number; idle: number; unusable: number }>();
      for (const p of s.machines) {
        const m = this.cx.table.machines.get(p.name);
        const key = `${m?.cap?.name ?? '?'}${m?.spot ? '*' : ''}`;
        const b = by.get(key) ?? { n: 0, idle: 0, unusable: 0 };
        b.n++;
        if (p.tasks === 0) b.idle++;
        if (m && !this.usable(m, now)) b.unusable++;
        by.set(key, b);
      }
      for (const [k, b] of by) types[k] = `${b.n} (${b.idle} idle, ${b.unusable} not usable)`;
      const accelerated: Record<string, string> = {};
      for (const m of this.cx.table.machines.values()) {
        if (m.share !== share || !m.cap || m.cap.gpus === 0) continue;
        const on = new Map<string, number>();
        for (const p of m.placements.values())
          on.set(`${p.job.spec.cls} ${p.phase}`, (on.get(`${p.job.spec.cls} ${p.phase}`) ?? 0) + 1);
        accelerated[`${m.name}${m.spot ? '*' : ''}`] = [...on].map(([k, n]) => `${n} ${k}`).join(', ');
      }
      const waiting = this.unmet
        .filter((u) => u.job.share === share)
        .map((u) => `${u.job.spec.cls} ${u.count} for ${Math.round((now - u.job.arrivedAt) / 1000)} s`);
      this.cx.log('debug', 'share', { share, machines: types, accelerated, waiting });
    }
  }

  /** No starts for jobs whose state wasn't confirmed lately: a user may have cancelled them. */
  private staleMs(): number {
    return this.cx.settings.workers.cancelS * 1000 * 0.25;
  }

  private watchJobs(now: Ms): void {
    for (const j of [...this.cx.table.jobs.values()]) {
      if (!this.held.has(j.share)) continue;
      if (j.state === 'live') this.storeProgress(j);
      else this.cx.table.dropFinal(j);
      if (j.spec.shape === 'gang' && j.gangAttempt !== 0 && !j.gangFailed) this.watchGang(j, now);
      for (const p of [...j.placements.values()]) {
        if (j.spec.shape !== 'gang' && p.phase === 'planned' && now - p.plannedAt > this.cx.settings.policy.planWaitS * 1000) {
          this.free(p);
        }
        // Still saving long after it should have been done: end it.
        if (p.stop !== null && p.stop > 0 && p.stopSince >= 0 && now - p.stopSince > (p.stop + 8) * 1000) this.stop(p, 0);
      }
    }
  }

  private watchGang(j: Job, now: Ms): void {
    const all = [...j.placements.values()];
    const planned = all.filter((p) => p.phase === 'planned');
    if (planned.length > 0) {
      if (now - (planned[0] as Placement).plannedAt > this.cx.settings.policy.planWaitS * 1000) {
        this.cx.log('info', 'plan released', { job: j.spec.id });
        for (const p of planned) this.free(p);
      }
      return;
    }
    // Found partly started after a takeover, with nowhere for the rest to be.
    if (all.length < j.spec.tasks && j.doneCount < j.spec.tasks && !this.unproven(j)) this.failGang(j);
  }

  /** Where could a task of this job be, of those that nobody has reported? */
  private unproven(j: Job): boolean {
    const held = this.held.get(j.share);
    if (!held || j.stamp > held.stamp) return false;
    for (const m of this.cx.table.machines.values()) if (m.share === j.share && m.suspect) return true;
    return false;
  }

  // ---- machines

  private watchMachines(now: Ms): void {
    const silentMs = this.cx.settings.policy.silentS * 1000;
    const zones = new Map<number, ZoneView>();
    for (const m of this.cx.table.machines.values()) {
      if (!this.held.has(m.share)) continue;
      const z = zones.get(m.zone) ?? { all: 0, heard: 0, lost: 0 };
      z.all++;
      if (m.lostCount >= 2) z.lost++;
      if (now - m.heardAt < 4000) z.heard++;
      zones.set(m.zone, z);
    }
    this.judgeZones(zones, now);
    this.judgeReach(zones, now);
    const manyLost = (zone: number) => {
      const z = zones.get(zone);
      return !this.reach || this.cutZones.has(zone) || (z !== undefined && z.lost > 1 && z.lost * 4 > z.all);
    };
    const back: Machine[] = [];
    for (const m of this.cx.table.machines.values()) {
      if (!this.held.has(m.share)) continue;
      const silent = now - m.heardAt;
      // Once its notice is over a silent machine is most likely taken.
      const taken = m.noticeUntil > 0 && now > m.noticeUntil && silent > this.cx.settings.workers.reportS * 1500;
      if ((silent > silentMs || taken) && !m.giveBack && !this.heardElsewhere(m, now)) {
        const cut = this.cutZones.has(m.zone);
        // Cancelled work must be gone in time, whatever the reason for the silence.
        const cancelled = [...m.placements.values()].some((p) => p.job.state === 'cancelled');
        const limit = this.cx.settings.workers.cancelS * 1000 * 0.5;
        if ((!cut && this.reach) || (cancelled && silent > limit)) this.giveUp(m, cut ? 'silent with cancelled work' : 'silent');
      }
      if (m.giveBack === '' && this.empty(m) && m.resolved && !m.dirty) {
        if (m.retire) this.giveUp(m, 'not needed');
        else if (this.faulty(m)) this.giveUp(m, 'faulty');
        else if (m.noticeUntil > 0) this.giveUp(m, 'spot notice');
        else if (m.moveTo >= 0) this.handOver(m);
      }
      if ((m.moveTo >= 0 || m.retire) && m.giveBack === '') this.vacate(m);
      if (m.giveBack && !m.returning && now >= m.returnAt) back.push(m);
      // Its reports come, but nothing reaches it: it would be thought well for ever, though
      // its lease runs out. Where many can't be reached at once, the fault isn't theirs.
      if (m.giveBack === '' && this.cutZones.has(m.zone) && this.doomed(m, now))
        this.giveUp(m, 'cut off for longer than its work lives');
      if (m.giveBack === '' && this.unreachable(m, now) && !manyLost(m.zone)) this.giveUp(m, 'can not be reached');
      if (m.dirty && !m.bumping && m.inflight === 0 && !m.giveBack) this.bump(m);
    }
    if (back.length > 0 && now >= this.nextReturnAt) {
      const id = this.cx.nextId();
      const some = back.slice(0, 50);
      for (const m of some) m.returning = true;
      this.returns.set(id, some);
      this.nextReturnAt = now + 300;
      this.cx.emit({ t: 'return', id, machines: some.map((m) => m.name) });
    }
  }

  /**
   * When a cut ends, workers need a moment to find their way back from the keeper that
   * answered them meanwhile: until then their silence says nothing.
   */
  private judgeZones(zones: Map<number, ZoneView>, now: Ms): void {
    for (const [zone, z] of zones) {
      if (this.zoneCut(zone, z, now)) this.cutZones.add(zone);
      else if (this.cutZones.delete(zone)) {
        for (const m of this.cx.table.machines.values()) {
          if (m.zone !== zone || !this.held.has(m.share)) continue;
          m.heardAt = now;
          m.lostCount = Math.min(m.lostCount, 1);
          m.lostSince = m.lostCount > 0 ? now : -1;
        }
      }
    }
  }

  /**
   * In a zone that is cut off from the state service too, its controllers stop answering
   * workers, and the work there ends by their leases. From then on such a machine only keeps
   * its work from going on elsewhere; what it bears, or may bear, is worth its return.
   */
  private doomed(m: Machine, now: Ms): boolean {
    const bears = m.suspect || [...m.placements.values()].some((p) => p.job.spec.shape !== 'array');
    const { cancelS, leaseS, reportS } = this.cx.settings.workers;
    if (!bears || now - m.heardAt < (leaseS + 2 * reportS) * 1000) return false;
    const zone = this.cx.table.zoneNames.name(m.zone);
    return this.cx.settings.nodes.every((n) => {
      if (n.zone !== zone) return true;
      const since = this.cx.table.absentSince.get(n.name);
      return since !== undefined && now - since > (cancelS / 2) * 1000;
    });
  }

  /** Is the zone seen to be cut off? */
  cut(zone: string): boolean {
    return this.cutZones.has(this.cx.table.zoneNames.find(zone));
  }

  /** Three commands in a row without an answer, over longer than a machine's silence is borne. */
  private unreachable(m: Machine, now: Ms): boolean {
    return m.lostCount >= 3 && now - m.lostSince > this.cx.settings.policy.silentS * 1000;
  }

  /**
   * Workers that can't be reached from here, not even those of our own zone: the fault is
   * ours, and another controller can do better. What is asked for here finds out when
   * it is over.
   */
  private judgeReach(zones: Map<number, ZoneView>, now: Ms): void {
    if (!this.reach) return;
    const own = zones.get(this.cx.table.zoneNames.find(this.cx.settings.zone));
    const all = { all: 0, heard: 0, lost: 0 };
    for (const z of zones.values()) {
      all.all += z.all;
      all.lost += z.lost;
    }
    const z = own && own.all >= 3 ? own : all;
    if (z.all < 3 || z.lost * 4 < z.all * 3) {
      this.lostReachAt = -1;
      return;
    }
    if (this.lostReachAt < 0) this.lostReachAt = now;
    if (now - this.lostReachAt < 2000) return;
    this.reach = false;
    this.answered = 0;
    this.askAt = now;
    this.cx.log('warn', 'workers can not be reached from here', { lost: z.lost, of: z.all });
  }

  /** Can workers be reached from here? */
  reach = true;
  private lostReachAt: Ms = -1;
  private answered = 0;
  private askAt: Ms = 0;
  private readonly asking = new Set<number>();

  /** Without shares no command tells whether workers can be reached again: a few are asked. */
  private seekReach(now: Ms): void {
    if (this.reach || now < this.askAt || this.asking.size > 0) return;
    this.askAt = now + 1500;
    const zone = this.cx.table.zoneNames.find(this.cx.settings.zone);
    const all = [...this.cx.table.machines.values()].filter((m) => m.addr !== '');
    const near = all.filter((m) => m.zone === zone);
    const list = near.length >= 3 ? near : all;
    if (list.length === 0) this.reach = true;
    for (let i = 0; i < Math.min(4, list.length); i++) {
      const m = list[Math.floor((i * list.length) / 4 + this.answered) % list.length] as Machine;
      const id = this.cx.nextId();
      this.asking.add(id);
      this.cx.emit({ t: 'ask', id, addr: m.addr });
    }
  }

  asked(id: number, ok: boolean): void {
    if (!this.asking.delete(id)) return;
    this.answered = ok ? this.answered + 1 : 0;
    // Two rounds answered whole: a share that comes home must not leave again at once.
    if (this.answered < 6 || this.reach) return;
    this.reach = true;
    this.lostReachAt = -1;
    for (const m of this.cx.table.machines.values()) m.lostCount = 0;
    this.cx.log('info', 'workers can be reached again');
  }

  private heardElsewhere(m: Machine, now: Ms): boolean {
    return now - m.elsewhereAt < 5000;
  }

  /** A zone whose machines are all silent, or most of them and its controllers too, is cut off. */
  private zoneCut(zone: number, z: ZoneView, now: Ms): boolean {
    const name = this.cx.table.zoneNames.name(zone);
    const { settings } = this.cx;
    if (name === settings.zone) return z.all >= 3 && z.heard === 0;
    const there = settings.nodes.filter((n) => n.zone === name && n.name !== settings.node);
    if (there.length > 0) return there.every((n) => !this.cx.peerAlive(n.name, now)) && z.heard * 2 <= z.all;
    return z.all >= 2 && z.heard === 0;
  }

  private giveUp(m: Machine, why: string): void {
    m.giveBack = why;
    m.returnAt = 0;
    this.cx.log('info', 'giving machine back', { machine: m.name, why, tasks: m.placements.size });
  }

  private empty(m: Machine): boolean {
    return m.placements.size === 0 && m.strays.length === 0 && m.inflight === 0;
  }

  private vacate(m: Machine): void {
    for (const p of [...m.placements.values()]) {
      if (p.phase === 'exited' || p.stop !== null) continue;
      // Independent tasks may finish in the time of a notice; what has to move, moves now.
      if (m.noticeUntil > 0 && p.job.spec.shape === 'array' && p.phase !== 'planned') continue;
      if (p.job.spec.shape === 'gang') this.stopJob(p.job);
      else this.stop(p, this.graceOf(p.job));
    }
  }

  private handOver(m: Machine): void {
    if (m.grantQueued) return;
    m.grantQueued = true;
    const to = m.moveTo;
    this.cx.writer.add({
      key: KEY.grant(m.name),
      value: () => ({ ...this.cx.table.grantOf(m), s: to }),
      guard: m.grantStamp,
      also: this.also(m.share),
      urgency: 1,
      done: (o) => {
        m.grantQueued = false;
        if (o === 'ok') this.cx.log('debug', 'machine handed over', { machine: m.name, to });
      },
    });
  }

  /**
   * Guards against a command that we gave up on and that is executed late: the worker
   * takes nothing older once it has seen the higher token.
   */
  private bump(m: Machine): void {
    if (m.grantQueued) return;
    m.bumping = true;
    m.grantQueued = true;
    const n = m.grantStamp;
    this.cx.writer.add({
      key: KEY.grant(m.name),
      value: () => {
        const g = this.cx.table.grantOf(m);
        if (m.moveTo >= 0) g.mv = m.moveTo;
        if (m.retire) g.x = true;
        g.n = n;
        return g;
      },
      guard: m.grantStamp,
      also: this.also(m.share),
      urgency: 2,
      done: (o) => {
        m.grantQueued = false;
        m.bumping = false;
        if (o === 'ok') {
          m.dirty = false;
          m.resolved = false;
        }
      },
    });
  }

  returned(id: number, ok: boolean, now: Ms): void {
    const list = this.returns.get(id);
    if (!list) return;
    this.returns.delete(id);
    for (const m of list) {
      m.returning = false;
      m.returnAt = now + 1500;
      if (!ok || !this.held.has(m.share)) continue;
      // 200: the machine and everything on it are gone.
      m.returning = true;
      m.resolved = true;
      m.suspect = false;
      for (const p of [...m.placements.values()]) this.free(p);
      this.dropGrant(m);
    }
  }

  private dropGrant(m: Machine): void {
    const cache = KEY.cache(m.name);
    const kept = this.cx.replica.get(cache);
    if (kept)
      this.cx.writer.add({
        key: cache,
        value: () => undefined,
        guard: kept.stamp,
        urgency: 4,
        until: this.now + 15_000,
        done: () => {},
      });
    this.cx.writer.add({
      key: KEY.grant(m.name),
      value: () => undefined,
      guard: m.grantStamp,
      also: this.also(m.share),
      urgency: 2,
      done: (o) => {
        if (o !== 'ok' && this.cx.table.machines.get(m.name) === m && this.held.has(m.share)) this.dropGrant(m);
      },
    });
  }

  // ---- commands

  private flush(m: Machine, now: Ms): void {
    if (m.inflight !== 0 || m.giveBack !== '' || m.addr === '' || now < m.retryAt || m.dirty || m.bumping) return;
    if (!m.resolved) {
      this.send(m, [], [], true, now);
      return;
    }
    // Silent, not answering, or odd: ask, rather than wait for the next report.
    if (now - m.heardAt > this.cx.settings.workers.reportS * 2000 || m.lostCount > 0 || m.ask) {
      this.send(m, [], [], true, now);
      return;
    }
    const cmds: Command[] = [];
    const started: Placement[] = [];
    const free: Need = m.cap ? { cpus: m.cap.cpus, gpus: m.cap.gpus, memory: m.cap.memory } : { cpus: 0, gpus: 0, memory: 0 };
    for (const t of m.strays) {
      if (t.state === 'exited') cmds.push({ op: 'forget', job: t.job, index: t.index, attempt: t.attempt });
      else cmds.push({ op: 'stop', job: t.job, index: t.index, attempt: t.attempt, graceS: 0 });
    }
    for (const p of m.placements.values()) {
      const id = { job: p.job.spec.id, index: p.index, attempt: p.attempt };
      if (p.phase === 'exited') {
        const kept = p.report?.why === 'done' && p.job.state === 'live' && !p.job.stored[p.index];
        if (!kept) cmds.push({ op: 'forget', ...id });
        continue;
      }
      if (p.phase === 'planned') continue;
      if (p.stop !== null && now - p.stopSentAt > 4000) {
        cmds.push({ op: 'stop', ...id, graceS: p.stop });
        p.stopSentAt = now;
        if (p.stopSince < 0) p.stopSince = now;
      }
      // What is told to go without saving is gone before the next command.
      if (p.stop !== 0) take(free, p.job.need);
    }
    if (now - this.cx.freshAt < this.staleMs()) {
      for (const p of m.placements.values()) {
        if (p.phase !== 'planned' || cmds.length > 60) continue;
        if (p.job.spec.shape === 'gang' ? !this.gangReady(p.job) : !fits(p.job.need, free)) continue;
        take(free, p.job.need);
        cmds.push({ op: 'start', job: p.job.spec.id, index: p.index, attempt: p.attempt });
        started.push(p);
      }
    }
    if (cmds.length > 0) this.send(m, cmds, started, false, now);
  }

  /** Starts go out once every member has room in the held plan. */
  private gangReady(j: Job): boolean {
    if (j.gangFailed || j.placements.size < j.spec.tasks) return false;
    for (const p of j.placements.values()) {
      if (p.phase !== 'planned') continue;
      const m = p.machine;
      if (!m.resolved || m.dirty || !m.cap) return false;
      const free: Need = { cpus: m.cap.cpus, gpus: m.cap.gpus, memory: m.cap.memory };
      for (const q of m.placements.values()) if (q.phase === 'sent' || q.phase === 'there') take(free, q.job.need);
      for (const q of m.placements.values()) if (q.phase === 'planned' && q.job === j) take(free, j.need);
      if (free.cpus < -1e-6 || free.gpus < -1e-6 || free.memory < -1e-6) return false;
    }
    return true;
  }

  private send(m: Machine, commands: Command[], sent: Placement[], probe: boolean, now: Ms): void {
    const id = this.cx.nextId();
    // Marked before anything leaves: from here on the tasks may be there.
    for (const p of sent) p.phase = 'sent';
    m.inflight = id;
    m.ask = false;
    m.inflightAt = now;
    this.commands.set(id, { machine: m, sent, probe, seen: { session: m.session, seq: m.seq } });
    this.cx.emit({
      t: 'command',
      id,
      machine: m.name,
      addr: m.addr,
      token: this.cx.table.token(m),
      session: m.session > 0 ? m.session : 1,
      commands,
    });
  }

  /** `lost`: the command may be executed yet; `refused`: it never left. */
  commandResult(id: number, r: { kind: 'ok' | 'stale'; report: Report | null } | { kind: 'lost' | 'refused' }, now: Ms): void {
    const c = this.commands.get(id);
    if (!c) return;
    this.commands.delete(id);
    const m = c.machine;
    if (m.inflight !== id) return;
    m.inflight = 0;
    this.wantPlan = true;
    if (!this.held.has(m.share)) return;
    if (r.kind === 'ok' || r.kind === 'stale') {
      m.lostCount = 0;
      m.lostSince = -1;
    } else {
      m.lostCount++;
      if (m.lostSince < 0) m.lostSince = now;
    }
    if (r.kind === 'ok') {
      if (r.report) this.observe(m, r.report, now, c.seen);
      for (const p of c.sent) {
        if (p.phase === 'sent' && p.machine === m && m.placements.get(taskKey(p.job.spec.id, p.index, p.attempt)) === p)
          this.free(p);
      }
      if (c.probe && !m.resolved) {
        m.resolved = true;
        m.suspect = false;
        // Under the new token nothing older can start any more: what the report lacks isn't there.
        for (const p of [...m.placements.values()]) if (p.phase === 'sent') this.free(p);
      }
      return;
    }
    if (r.kind === 'stale') {
      for (const p of c.sent) if (p.phase === 'sent') p.phase = 'planned';
      if (r.report) {
        this.observe(m, r.report, now, c.seen);
        if (r.report.token > this.cx.table.token(m)) m.retryAt = now + 1000;
      }
      return;
    }
    m.retryAt = now + 700;
    if (r.kind === 'refused') {
      for (const p of c.sent) if (p.phase === 'sent') p.phase = 'planned';
      for (const p of m.placements.values()) p.stopSentAt = -1e12;
      return;
    }
    for (const p of m.placements.values()) p.stopSentAt = -1e12;
    // An empty probe that is executed late does nothing.
    if (!c.probe) m.dirty = true;
  }

  // ---- planning

  private usable(m: Machine, now: Ms): boolean {
    return (
      m.resolved &&
      !m.dirty &&
      m.cap !== null &&
      m.moveTo < 0 &&
      !m.retire &&
      m.giveBack === '' &&
      m.noticeUntil < 0 &&
      !this.faulty(m) &&
      m.lostCount === 0 &&
      now - m.heardAt < this.cx.settings.workers.reportS * 2500
    );
  }

  private roomOf(m: Machine): Room {
    const r: Room = { machine: m, cpus: m.cap?.cpus ?? 0, gpus: m.cap?.gpus ?? 0, memory: m.cap?.memory ?? 0 };
    for (const p of m.placements.values()) if (p.phase !== 'exited') take(r, p.job.need);
    return r;
  }

  /** Everything of each team that is, or may be, on a machine. */
  private teamUse(): { cpus: number; gpus: number }[] {
    const use = this.cx.settings.teams.map(() => ({ cpus: 0, gpus: 0 }));
    for (const j of this.cx.table.jobs.values()) {
      const u = use[j.team];
      if (!u || !this.held.has(j.share)) continue;
      for (const p of j.placements.values()) {
        if (p.phase === 'exited') continue;
        u.cpus += j.spec.cpus;
        u.gpus += j.spec.gpus;
      }
    }
    // Any team of the share may have work on a machine that hasn't answered yet.
    for (const m of this.cx.table.machines.values()) {
      if (!m.suspect || !this.held.has(m.share)) continue;
      for (let t = 0; t < use.length; t++) {
        if (this.cx.table.teamShare[t] !== m.share) continue;
        (use[t] as Need).cpus += m.cap?.cpus ?? 0;
        (use[t] as Need).gpus += m.cap?.gpus ?? 0;
      }
    }
    return use;
  }

  /**
   * Which jobs are within their team's guarantee, and which are protected by it: a team
   * without a guarantee in what a job uses has nothing to protect it with.
   */
  private guarantees(): Map<Job, { within: boolean; firm: boolean }> {
    const out = new Map<Job, { within: boolean; firm: boolean }>();
    const sums = this.cx.settings.teams.map(() => ({ cpus: 0, gpus: 0 }));
    const jobs = [...this.cx.table.jobs.values()]
      .filter((j) => j.state === 'live' && this.held.has(j.share))
      .sort((a, b) => a.stamp - b.stamp);
    for (const j of jobs) {
      const t = this.cx.settings.teams[j.team];
      const s = sums[j.team];
      if (!t || !s) continue;
      const left = j.spec.tasks - (j.spec.shape === 'array' ? j.doneCount : 0);
      s.cpus += j.spec.cpus * left;
      s.gpus += j.spec.gpus * left;
      const cpusOk = t.cpus <= 0 || s.cpus <= t.cpus + 1e-6;
      const gpusOk = t.gpus <= 0 || s.gpus <= t.gpus + 1e-6;
      const within = cpusOk && gpusOk;
      const guarded = (t.cpus > 0 && j.spec.cpus > 0) || (t.gpus > 0 && j.spec.gpus > 0);
      out.set(j, { within, firm: within && guarded });
    }
    return out;
  }

  /**
   * When the job should start: the next of its class's objectives that can still be kept.
   * Work that has missed them all comes after what hasn't.
   */
  private dueOf(j: Job, now: Ms): number {
    const fetch = j.spec.imageGb * 1000;
    const run = (j.ranS > 0 ? j.ranS : j.spec.estimateS) * 1000;
    let due = Number.POSITIVE_INFINITY;
    let any = false;
    for (const o of this.cx.settings.objectives) {
      if (o.cls !== j.spec.cls || o.withinS === null || (o.kind !== 'wait' && o.kind !== 'finished')) continue;
      any = true;
      const at = j.arrivedAt + o.withinS * 1000 - (o.kind === 'wait' ? fetch : run + fetch);
      if (at > now - 1000) due = Math.min(due, at);
    }
    if (due < Number.POSITIVE_INFINITY) return due;
    return j.arrivedAt + (any ? 1e7 : (j.spec.deadlineS ?? 600) * 1000);
  }

  private plan(now: Ms): void {
    const rooms: Room[] = [];
    for (const m of this.cx.table.machines.values())
      if (this.held.has(m.share) && this.usable(m, now)) rooms.push(this.roomOf(m));
    const use = this.teamUse();
    const guar = this.guarantees();
    let weighed = 0;
    const queue = [...this.cx.table.jobs.values()]
      .filter((j) => this.held.has(j.share) && j.state === 'live' && j.pendingCount() > 0)
      .map((j) => ({ j, g: guar.get(j) ?? { within: false, firm: false }, due: this.dueOf(j, now) }))
      .sort(
        (a, b) =>
          b.j.spec.rank - a.j.spec.rank || Number(b.g.within) - Number(a.g.within) || a.due - b.due || a.j.stamp - b.j.stamp,
      );
    this.unmet = [];
    let later = false;
    for (const { j, g } of queue) {
      if (now < j.notBefore) {
        later = true;
        continue;
      }
      if (this.unproven(j)) continue;
      weighed += rooms.length;
      const mine = rooms.filter((r) => r.machine.share === j.share && allowed(j, r.machine) && !j.errors.has(r.machine.name));
      const left =
        j.spec.shape === 'gang'
          ? this.planGang(j, g.within, mine, use, guar, now)
          : this.planTasks(j, g.within, mine, use, guar, now);
      if (left > 0) this.unmet.push({ job: j, count: left, within: g.within });
    }
    this.nextPlanAt = now + Math.min(REPLAN_MS, weighed / WEIGHED_PER_MS);
    this.unsettled = later || this.unmet.length > 0;
    this.gangsWait.clear();
    for (const u of this.unmet) if (u.job.spec.gpus > 0) this.gangsWait.add(u.job.share);
    this.clearForGangs(now);
    this.gather(now);
  }

  private quotaLeft(j: Job, use: { cpus: number; gpus: number }[]): number {
    const t = this.cx.settings.teams[j.team];
    const u = use[j.team];
    if (!t || !u) return 0;
    let n = j.spec.tasks;
    if (t.cpusMax > 0 && j.spec.cpus > 0) n = Math.min(n, Math.floor((t.cpusMax - u.cpus + 1e-6) / j.spec.cpus));
    if (t.gpusMax > 0 && j.spec.gpus > 0) n = Math.min(n, Math.floor((t.gpusMax - u.gpus + 1e-6) / j.spec.gpus));
    return Math.max(0, n);
  }

  private attempt(share: number): number {
    return (this.held.get(share)?.stamp ?? 0) * ATTEMPTS_PER_HOLDING + this.attempts++;
  }

  /**
   * Larger is better, about in seconds: the time until the image is there counts, and
   * machines with accelerators are left to the work that needs them.
   */
  private preference(j: Job, r: Room): number {
    const m = r.machine;
    const cap = m.cap;
    if (!cap) return -100;
    let s = 0;
    if (!m.images.has(j.image)) {
      let coming = false;
      for (const p of m.placements.values()) if (p.job.image === j.image && p.phase !== 'exited') coming = true;
      s -= (j.spec.imageGb / cap.fetchGbPerS) * (coming ? 0.5 : 1);
    }
    if (j.spec.gpus === 0 && cap.gpus > 0) s -= this.gpuPenalty(j, r);
    if (m.spot && j.spec.shape === 'array') s += 1;
    // Services stand together, so that whole machines stay free for others.
    if (j.spec.shape === 'service' && this.serviceUse(m).cpus > 0) s += 0.6;
    return s;
  }

  /**
   * Where no more of them can be had, services keep off machines with accelerators until
   * nothing else has come free for a while: there they would stand in the way for hours.
   */
  private mayUse(j: Job, r: Room, waitedMs: Ms): boolean {
    const cap = r.machine.cap;
    // Fetches share a machine's rate: a small image would hold up a gang's large one.
    if (j.spec.gpus === 0 && this.now < r.machine.emptyUntil) return false;
    if (j.spec.gpus === 0 && !r.machine.images.has(j.image) && this.fetchesForGang(r.machine)) return false;
    if (j.spec.gpus > 0 || !cap || cap.gpus === 0 || r.machine.spot) return true;
    if (j.spec.shape !== 'service') return this.arrayMayUse(j, r);
    if (this.cx.plenty(cap.name)) return true;
    // One machine given to services whole leaves the others to the work they are made for.
    if (this.givenToServices(r.machine)) return waitedMs > 800;
    if (this.leavesRoomForGang(r.machine, j.need)) return waitedMs > 1500;
    for (const m of this.cx.table.machines.values()) {
      if (m !== r.machine && m.share === j.share && this.givenToServices(m) && this.usable(m, this.now) && allowed(j, m)) {
        if (fits(j.need, this.roomOf(m))) return waitedMs > 30_000;
      }
    }
    return waitedMs > SCARCE_AFTER_S * 1000;
  }

  private fetchesForGang(m: Machine): boolean {
    for (const p of m.placements.values()) {
      if (p.job.spec.gpus === 0 || p.phase === 'exited' || p.stop !== null || m.images.has(p.job.image)) continue;
      if (p.phase !== 'there' || p.report?.state === 'fetching') return true;
    }
    return false;
  }

  /** Independent tasks take a dear machine whole only when their time runs out. */
  private arrayMayUse(j: Job, r: Room): boolean {
    const cap = r.machine.cap;
    if (!cap) return true;
    const want = this.cx.table.gpuNeed.get(r.machine.type);
    // Where no more are to be had and what needs them outranks this, it does no harm there.
    if (!want || (want.rank > j.spec.rank && !this.cx.plenty(cap.name))) return true;
    let cpus = j.spec.cpus;
    for (const p of r.machine.placements.values()) if (p.phase !== 'exited' && p.job.spec.gpus === 0) cpus += p.job.spec.cpus;
    // Beside what keeps the machine here anyway, it costs nothing; alone it would keep it.
    if (cpus <= cap.cpus - want.cpus + EPS && this.keptAnyway(r.machine)) return true;
    if (this.gangsWait.has(j.share)) return false;
    const due = this.dueOf(j, this.now) - this.now;
    return due < this.cx.table.bootMs(j) * 1.5 || due > 1e6;
  }

  /** Bears more services than accelerator work leaves room for, or is in a share without such work. */
  private givenToServices(m: Machine): boolean {
    if (!m.cap || m.cap.gpus === 0 || m.spot) return false;
    if (!this.cx.table.gpuShares.has(m.share)) return true;
    return !this.leavesRoomForGang(m, NOTHING);
  }

  /** Would accelerator work of the largest kind seen still fit beside the machine's services and this? */
  private leavesRoomForGang(m: Machine, more: Need): boolean {
    const want = this.cx.table.gpuNeed.get(m.type);
    if (!want || !m.cap) return true;
    const used = this.serviceUse(m);
    return used.cpus + more.cpus <= m.cap.cpus - want.cpus + EPS && used.memory + more.memory <= m.cap.memory - want.memory + EPS;
  }

  private servicesOn(m: Machine): Placement[] {
    return [...m.placements.values()].filter((p) => p.phase !== 'exited' && p.job.spec.shape === 'service');
  }

  /** What services without accelerators take on the machine. */
  private serviceUse(m: Machine): { cpus: number; memory: number } {
    const u = { cpus: 0, memory: 0 };
    for (const p of this.servicesOn(m)) {
      if (p.job.spec.gpus > 0) continue;
      u.cpus += p.job.spec.cpus;
      u.memory += p.job.spec.memory;
    }
    return u;
  }

  /**
   * Machines whose services the share has other room for: these can be cleared, for work
   * that needs an accelerator or for another share.
   */
  private clearable(share: number, now: Ms): Set<Machine> {
    const out = new Set<Machine>();
    const rooms: Room[] = [];
    for (const m of this.cx.table.machines.values()) {
      if (m.share !== share || !m.cap || m.spot || !this.usable(m, now)) continue;
      if (m.cap.gpus > 0 && !this.givenToServices(m)) continue;
      const r = this.roomOf(m);
      for (const p of m.placements.values()) {
        if (p.phase !== 'exited' && p.job.spec.shape === 'array')
          take(r, { cpus: -p.job.spec.cpus, gpus: 0, memory: -p.job.spec.memory });
      }
      rooms.push(r);
    }
    for (const m of this.cx.table.machines.values()) {
      if (m.share !== share || !m.cap || m.spot) continue;
      const move = this.servicesOn(m);
      // What was moved lately stays where it is: moving it on would keep it from running.
      if (move.some((p) => now - p.job.lastStop < 60_000)) continue;
      if (move.length === 0 || (m.cap.gpus === 0 && move.length > 4)) continue;
      const tried = rooms
        .filter((r) => r.machine !== m && r.machine.placements.size > 0 && this.wider(r.machine, m))
        .map((r) => ({ ...r }));
      let all = true;
      for (const p of move) {
        const r = tried.find((x) => fits(p.job.need, x) && allowed(p.job, x.machine));
        if (r) take(r, p.job.need);
        else all = false;
      }
      if (all) out.add(m);
    }
    return out;
  }

  /** May services go from `from` to `to`? From one accelerator machine only to one with more of them. */
  private wider(to: Machine, from: Machine): boolean {
    if (from.cap?.gpus === 0 || to.cap?.gpus === 0) return true;
    return this.serviceUse(to).cpus > this.serviceUse(from).cpus;
  }

  /**
   * Clears machines with accelerators of services when a gang here has no other place: as
   * many as it lacks, or none.
   */
  private clearForGangs(now: Ms): void {
    if (now - this.clearedAt < 5000) return;
    for (const { job } of this.unmet) {
      if (job.spec.gpus === 0 || job.spec.shape !== 'gang') continue;
      const plain: Machine[] = [];
      let room = 0;
      const can = this.clearable(job.share, now);
      for (const m of this.cx.table.machines.values()) {
        if (m.share !== job.share || !m.cap || !allowed(job, m) || !this.usable(m, now)) continue;
        const here = copies(job.need, this.roomOf(m));
        room += here;
        if (here > 0 || !can.has(m)) continue;
        if ([...m.placements.values()].some((p) => p.phase !== 'exited' && p.job.spec.gpus > 0)) continue;
        const use = this.serviceUse(m);
        const without: Need = { cpus: m.cap.cpus - use.cpus, gpus: m.cap.gpus, memory: m.cap.memory - use.memory };
        if (use.cpus > 0 && !fits(job.need, without)) plain.push(m);
      }
      if (plain.length === 0 || room >= job.spec.tasks) continue;
      plain.sort((a, b) => this.serviceUse(a).cpus - this.serviceUse(b).cpus);
      let gained = 0;
      const chosen = plain.filter((m) => {
        if (room + gained >= job.spec.tasks) return false;
        gained += copies(job.need, m.cap as Need);
        return true;
      });
      if (room + gained < job.spec.tasks) continue;
      this.clearedAt = now;
      for (const m of chosen) {
        this.cx.log('info', 'moving services off a machine with accelerators', { machine: m.name });
        m.emptyUntil = now + 2 * this.cx.settings.policy.planWaitS * 1000;
        for (const p of this.servicesOn(m)) this.stop(p, 0);
      }
      return;
    }
  }

  private clearedAt: Ms = -1e12;
  private gatheredAt: Ms = -1e12;
  /** shares with work for accelerators that has no room */
  private readonly gangsWait = new Set<number>();

  /**
   * A few services keep a machine with accelerators from being given back. Where others have
   * room for them, with their images at hand, they move there, one machine at a time.
   */
  private gather(now: Ms): void {
    if (this.cx.settings.policy.hold || now - this.gatheredAt < GATHER_MS) return;
    this.gatheredAt = now;
    for (const share of this.held.keys()) {
      let best: { m: Machine; services: Placement[] } | null = null;
      const rooms: Room[] = [];
      for (const m of this.cx.table.machines.values()) {
        if (m.share !== share || !m.cap || m.spot || !this.usable(m, now) || now < m.emptyUntil) continue;
        const services = this.servicesOn(m);
        const gpuWork = [...m.placements.values()].some((p) => p.phase !== 'exited' && p.job.spec.gpus > 0);
        if (m.cap.gpus === 0 || services.length > 0 || gpuWork) rooms.push(this.roomOf(m));
        if (m.cap.gpus === 0 || services.length === 0 || (best && services.length >= best.services.length)) continue;
        if (services.some((p) => p.stop !== null || p.ranSince < 0 || now - p.ranSince < SETTLED_MS)) continue;
        if (gpuWork || [...m.placements.values()].some((p) => p.phase === 'planned')) continue;
        best = { m, services };
      }
      if (!best) continue;
      const { m, services } = best;
      const use = this.serviceUse(m).cpus;
      if (use > (m.cap?.cpus ?? 0) / 2) continue;
      const free = rooms
        .filter(
          (r) =>
            r.machine !== m && (r.machine.cap?.gpus === 0 || this.keptAnyway(r.machine) || this.serviceUse(r.machine).cpus > use),
        )
        .sort((a, b) => a.cpus - b.cpus);
      const all = services.every((p) => {
        const counts = zoneCounts(p.job);
        counts.set(m.zone, (counts.get(m.zone) ?? 1) - 1);
        const r = free.find(
          (x) =>
            x.machine.images.has(p.job.image) &&
            fits(p.job.need, x) &&
            allowed(p.job, x.machine) &&
            zoneAllows(p.job, counts, x.machine.zone),
        );
        if (r) take(r, p.job.need);
        return r !== undefined;
      });
      if (!all) continue;
      this.cx.log('debug', 'gathering services of a machine elsewhere', { machine: m.name, services: services.length });
      m.emptyUntil = now + SETTLED_MS;
      for (const p of services) this.stop(p, 0);
    }
  }

  private gpuPenalty(j: Job, r: Room): number {
    const m = r.machine;
    if (m.spot) return 1;
    const want = this.cx.table.gpuNeed.get(m.type);
    if (!want || !m.cap) return 5;
    // What an accelerator task leaves over is free for others; where services stand in its
    // way already, more of them cost nothing.
    if (this.leavesRoomForGang(m, j.need)) {
      if (!this.cx.plenty(m.cap.name)) return 6;
      return this.keptAnyway(m) ? 0 : 20;
    }
    if (j.spec.shape === 'service' && this.givenToServices(m)) return 2;
    return j.spec.rank < want.rank ? 8 : 40;
  }

  /** Bears work for accelerators, or is full of services. */
  private keptAnyway(m: Machine): boolean {
    for (const p of m.placements.values()) if (p.phase !== 'exited' && p.job.spec.gpus > 0) return true;
    return !this.leavesRoomForGang(m, NOTHING);
  }

  private planTasks(
    j: Job,
    within: boolean,
    rooms: Room[],
    use: { cpus: number; gpus: number }[],
    guar: Map<Job, { within: boolean; firm: boolean }>,
    now: Ms,
  ): number {
    let left = j.pendingCount();
    const quota = this.quotaLeft(j, use);
    let can = Math.min(left, quota);
    const unplaceable = left - can;
    const counts = zoneCounts(j);
    if (j.waitsSince < 0) j.waitsSince = now;
    const waited = now - j.waitsSince;
    const order = rooms
      .filter((r) => this.mayUse(j, r, waited))
      .map((r) => ({ r, s: this.preference(j, r) }))
      .sort((a, b) => b.s - a.s || a.r.cpus - b.r.cpus);
    while (can > 0) {
      let best: { r: Room; s: number } | null = null;
      for (const o of order) {
        if (fits(j.need, o.r) && zoneAllows(j, counts, o.r.machine.zone)) {
          best = o;
          break;
        }
      }
      let room: Room | null = best?.r ?? null;
      // A better place (the image at hand) may be had from lesser work.
      if (!best || (j.spec.shape === 'service' && best.s < -1)) {
        const other = order.filter((o) => (!best || o.s > best.s + 1) && zoneAllows(j, counts, o.r.machine.zone)).map((o) => o.r);
        room = this.evictFor(j, within, other, guar, now) ?? room;
      }
      if (!room) break;
      const index = j.nextPending();
      if (index < 0) break;
      take(room, j.need);
      this.place(j, index, this.attempt(j.share), room.machine, 'planned', now);
      this.addUse(use, j);
      counts.set(room.machine.zone, (counts.get(room.machine.zone) ?? 0) + 1);
      can--;
      left--;
    }
    if (left === 0) j.waitsSince = -1;
    return left - unplaceable;
  }

  private addUse(use: { cpus: number; gpus: number }[], j: Job): void {
    const u = use[j.team];
    if (!u) return;
    u.cpus += j.spec.cpus;
    u.gpus += j.spec.gpus;
  }

  /** May this placement be stopped for a job of that rank? (DESIGN: above guarantee; PROTOCOL: rank) */
  private victim(p: Placement, j: Job, within: boolean, guar: Map<Job, { within: boolean; firm: boolean }>): boolean {
    if (p.stop !== null || p.phase === 'exited' || p.job === j) return false;
    const g = guar.get(p.job);
    if (g?.firm) return false;
    if (p.job.spec.rank < j.spec.rank) return true;
    if (!within || p.job.team === j.team || g === undefined || j.spec.gpus === 0) return false;
    return !g.within || p.job.spec.shape === 'array';
  }

  private cost(p: Placement, now: Ms): number {
    const ran = p.ranSince >= 0 ? (now - p.ranSince) / 1000 : 0;
    return p.job.spec.rank * 1000 + (p.phase === 'planned' ? -1 : ran) + (p.job.spec.shape === 'gang' ? 500 : 0);
  }

  /** The least work to stop on one machine so that a task of the job fits, or null. */
  private victimsOn(
    j: Job,
    within: boolean,
    r: Room,
    guar: Map<Job, { within: boolean; firm: boolean }>,
    now: Ms,
    count = 1,
  ): Placement[] | null {
    const need: Need = { cpus: j.spec.cpus * count, gpus: j.spec.gpus * count, memory: j.spec.memory * count };
    const free: Need = { cpus: r.cpus, gpus: r.gpus, memory: r.memory };
    const out: Placement[] = [];
    const list = [...r.machine.placements.values()]
      .filter((p) => this.victim(p, j, within, guar))
      .sort((a, b) => this.cost(a, now) - this.cost(b, now));
    for (const p of list) {
      if (fits(need, free)) break;
      out.push(p);
      free.cpus += p.job.spec.cpus;
      free.gpus += p.job.spec.gpus;
      free.memory += p.job.spec.memory;
    }
    return fits(need, free) ? out : null;
  }

  private evictFor(
    j: Job,
    within: boolean,
    rooms: Room[],
    guar: Map<Job, { within: boolean; firm: boolean }>,
    now: Ms,
  ): Room | null {
    let best: { r: Room; v: Placement[]; c: number } | null = null;
    for (const r of rooms) {
      const v = this.victimsOn(j, within, r, guar, now);
      if (!v) continue;
      const c = v.reduce((a, p) => a + this.cost(p, now), 0) - 20 * this.preference(j, r);
      if (!best || c < best.c) best = { r, v, c };
    }
    if (!best) return null;
    this.evict(best.v, best.r);
    return best.r;
  }

  private evict(victims: Placement[], r: Room): void {
    for (const p of victims) {
      r.cpus += p.job.spec.cpus;
      r.gpus += p.job.spec.gpus;
      r.memory += p.job.spec.memory;
      // A gang is stopped whole.
      if (p.job.spec.shape === 'gang') this.stopJob(p.job);
      else this.stop(p, this.graceOf(p.job));
    }
  }

  private planGang(
    j: Job,
    within: boolean,
    rooms: Room[],
    use: { cpus: number; gpus: number }[],
    guar: Map<Job, { within: boolean; firm: boolean }>,
    now: Ms,
  ): number {
    const n = j.spec.tasks;
    if (j.gangAttempt !== 0 || j.placements.size > 0) return 0;
    if (this.quotaLeft(j, use) < n) return 0;
    let spots = placeGang(j, n, rooms, (r) => this.preference(j, r));
    if (!spots) {
      // By layers again, with what may be stopped taken as free; the domain with the least to stop wins.
      for (const layer of [0, 1, 2] as const) {
        if (layer === 2 && j.spec.oneZone) continue;
        for (const domain of domains(rooms, layer)) {
          const widened = domain.map((r) => {
            const w = { ...r };
            for (const p of r.machine.placements.values()) {
              if (!this.victim(p, j, within, guar)) continue;
              w.cpus += p.job.spec.cpus;
              w.gpus += p.job.spec.gpus;
              w.memory += p.job.spec.memory;
            }
            return w;
          });
          const costs = new Map(
            domain.map((r) => [
              r.machine,
              this.victimsOn(j, within, r, guar, now)?.reduce((a, p) => a + this.cost(p, now), 0) ?? 1e9,
            ]),
          );
          spots = placeGang(j, n, widened, (r) => -(costs.get(r.machine) ?? 0));
          if (spots) break;
        }
        if (spots) break;
      }
      if (!spots) return n;
      const per = new Map<Machine, number>();
      for (const m of spots) per.set(m, (per.get(m) ?? 0) + 1);
      for (const [m, c] of per) {
        const r = rooms.find((x) => x.machine === m);
        if (!r) return n;
        const v = this.victimsOn(j, within, r, guar, now, c);
        if (!v) return n;
        this.evict(v, r);
      }
    }
    j.gangAttempt = this.attempt(j.share);
    j.gangFailed = false;
    const pending = j.allPending();
    spots.forEach((m, i) => {
      const r = rooms.find((x) => x.machine === m);
      if (r) take(r, j.need);
      this.place(j, pending[i] as number, j.gangAttempt, m, 'planned', now);
      this.addUse(use, j);
    });
    return 0;
  }

  // ---- what others are told

  share(share: number, now: Ms): PeerShare {
    const guar = this.guarantees();
    const machines: PeerMachine[] = [];
    const clearable = this.clearable(share, now);
    for (const m of this.cx.table.machines.values()) {
      if (m.share !== share) continue;
      const r = this.roomOf(m);
      let firmRank = -1;
      for (const p of m.placements.values()) {
        if (p.phase === 'exited' || (p.job.spec.shape === 'service' && clearable.has(m))) continue;
        firmRank = Math.max(firmRank, guar.get(p.job)?.firm ? 9 : p.job.spec.rank);
      }
      if (!this.usable(m, now)) firmRank = 9;
      machines.push({
        name: m.name,
        freeCpus: Math.max(0, r.cpus),
        freeGpus: Math.max(0, r.gpus),
        freeMemory: Math.max(0, r.memory),
        tasks: m.placements.size,
        firmRank,
        idleS: m.placements.size === 0 ? (now - m.idleSince) / 1000 : 0,
        services: this.servicesOn(m).length,
      });
    }
    // Alike wants are told as one.
    const demands = new Map<string, PeerDemand>();
    for (const u of this.unmet) {
      if (u.job.share !== share) continue;
      const s = u.job.spec;
      const gang = s.shape === 'gang';
      const counts = zoneCounts(u.job);
      const notZones = gang
        ? []
        : this.cx.settings.zones.filter((z) => !zoneAllows(u.job, counts, this.cx.table.zoneNames.find(z)));
      const key = [
        s.cpus,
        s.gpus,
        s.memory,
        s.types?.join(',') ?? '',
        s.zone ?? '',
        s.spot,
        s.rank,
        u.within,
        s.shape,
        notZones,
      ].join('/');
      const waitS = (now - Math.max(u.job.arrivedAt, u.job.waitsSince)) / 1000;
      const slackS = Math.max(-1e4, Math.min(1e4, (this.dueOf(u.job, now) - now) / 1000));
      const old = demands.get(key);
      if (old) {
        old.count += u.count;
        old.waitS = Math.max(old.waitS, waitS);
        old.slackS = Math.min(old.slackS, slackS);
        continue;
      }
      if (demands.size >= 32) continue;
      demands.set(key, {
        cpus: s.cpus,
        gpus: s.gpus,
        memory: s.memory,
        types: s.types ?? [],
        zone: s.zone ?? '',
        spot: s.spot,
        rank: s.rank,
        within: u.within,
        count: u.count,
        gang,
        waitS,
        slackS,
        notZones,
      });
    }
    return { share, machines, demands: [...demands.values()] };
  }

  running(): { job: string; count: number; done: number }[] {
    const out: { job: string; count: number; done: number }[] = [];
    for (const j of this.cx.table.jobs.values()) {
      if (!this.held.has(j.share)) continue;
      let count = 0;
      for (const p of j.placements.values()) if (p.phase === 'there' && p.report?.state === 'running') count++;
      if (count > 0 || j.doneCount > 0) out.push({ job: j.spec.id, count, done: j.doneCount });
    }
    return out;
  }
}
