import type { Command, Report } from '@archpost/wire';
import type { Context } from './context.js';
import type { Job, Machine, Ms, Need, Placement } from './model.js';
import { fits, take } from './placement.js';
import { ABOVE_ALL_RANKS } from './ranks.js';
import type { Reports } from './reports.js';
import { taskKey, type Work } from './work.js';

/**
 * Machines asked how they stand at once, by a whole core. After a takeover all have to be, and
 * workers' reports, whose leases run, must not wait behind a hundred questions.
 */
const ASKS_PER_TICK = 32;

/** Starts of the lowest rank, and what is only to be cleared away, go out this often to a machine. */
const LOW_STARTS_MS = 1000;
const FORGETS_MS = 3000;

function lost(m: Machine): number {
  return Math.min(m.lostCount, 1);
}

/**
 * The only place where a start is made, as the command leaves: whatever was true when it was planned, its job must be
 * one that runs, with nothing left to await, and the task not one that was told to stop meanwhile.
 */
function startCommand(p: Placement): Command | null {
  const { job } = p;
  if (job.state !== 'live' || job.waits || p.stop !== null) return null;
  return { op: 'start', job: job.spec.id, index: p.index, attempt: p.attempt };
}

/** Commands to workers: what is sent, and what its outcome means. */
export class Commands {
  private readonly sent = new Map<
    number,
    { machine: Machine; sent: Placement[]; probe: boolean; seen: { session: number; seq: number } }
  >();

  /** questions under way */
  private probes = 0;

  constructor(
    private readonly context: Context,
    private readonly work: Work,
    private readonly reports: Reports,
  ) {}

  /** To all our machines what each is to be told or asked. */
  flushAll(now: Ms): void {
    const ask: Machine[] = [];
    for (const m of this.context.table.machines.values()) {
      if (!this.context.acts(m.share)) continue;
      if (m.inflight !== 0 || m.giveBack !== '' || m.addr === '' || now < m.retryAt || m.dirty || m.raisingToken) continue;
      // Silent, not answering, or odd: ask, rather than wait for the next report.
      const odd = now - m.heardAt > this.context.settings.workers.reportS * 2000 || m.lostCount > 0 || m.ask;
      if (m.resolved && !odd) this.flush(m, now);
      else ask.push(m);
    }
    // Half of the connections for commands, and a quarter more for what is well: questions to a
    // silent zone must not close those to live machines.
    let room = Math.max(2, Math.round(ASKS_PER_TICK * this.context.settings.cpuShare));
    if (ask.length > room) this.sortForAsking(ask);
    for (const m of ask) {
      if (room < 1) return;
      // What is heard and has answered so far doesn't wait for what isn't.
      const well = m.resolved && m.lostCount === 0 && this.work.heardLately(m, now);
      if (this.probes >= this.context.settings.sockets / (well ? 8 : 12)) continue;
      room--;
      this.askMachine(m, now);
    }
  }

  /**
   * Who is asked first: what answered so far, then what bears cancelled work or the most urgent as far as is
   * heard, then by turns. In the order of their names, a hundred machines of a cut zone were
   * asked again and again, and 31 live ones, never asked, were given back as silent.
   */
  private sortForAsking(machines: Machine[]): void {
    const urgency = new Map(machines.map((m) => [m, this.work.bearsCancelled(m) ? ABOVE_ALL_RANKS : m.bearsRank]));
    const urgencyOf = (m: Machine) => urgency.get(m) ?? m.bearsRank;
    machines.sort((a, b) => lost(a) - lost(b) || urgencyOf(b) - urgencyOf(a) || a.lastAskAt - b.lastAskAt);
  }

  private askMachine(m: Machine, now: Ms): void {
    // Its silence counts from the first question: until then nothing was asked of it.
    if (!m.probed) {
      m.probed = true;
      m.heardAt = now;
    }
    this.send(m, [], [], true);
  }

  private flush(m: Machine, now: Ms): void {
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
    if (this.work.mayStart(now)) {
      for (const p of m.placements.values()) {
        if (p.phase !== 'planned' || cmds.length > 60 || this.work.unconfirmed(p.job)) continue;
        if (p.job.spec.shape === 'gang' ? !this.gangReady(p.job) : !fits(p.job.need, free)) continue;
        const start = startCommand(p);
        if (start === null) continue;
        take(free, p.job.need);
        cmds.push(start);
        started.push(p);
      }
    }
    if (cmds.length > 0 && !this.canWait(m, cmds, started, now)) this.send(m, cmds, started, false);
  }

  /**
   * Machines that run short tasks of low rank are told of several at once: with a command and
   * its answer for each, a swarm of them took what processor time there was.
   */
  private canWait(m: Machine, cmds: Command[], started: Placement[], now: Ms): boolean {
    if (cmds.some((c) => c.op === 'stop') || started.some((p) => p.job.rank > 0)) return false;
    if (started.length > 0) return now - m.toldAt < LOW_STARTS_MS;
    // What would be empty without them may be wanted elsewhere.
    if (m.moveTo >= 0 || m.retire || m.noticeUntil >= 0) return false;
    let bears = false;
    for (const p of m.placements.values()) {
      // What was stopped or failed can't start again before it is cleared away.
      if (p.phase === 'exited' && p.report?.why !== 'done') return false;
      bears ||= p.phase === 'there';
    }
    return bears && now - m.toldAt < FORGETS_MS;
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

  private send(m: Machine, commands: Command[], sent: Placement[], probe: boolean): void {
    const id = this.context.nextId();
    // Marked before anything leaves: from here on the tasks may be there.
    for (const p of sent) p.phase = 'sent';
    m.inflight = id;
    m.toldAt = this.work.now;
    m.ask = false;
    if (probe) {
      m.lastAskAt = this.work.now;
      this.probes++;
    }
    this.sent.set(id, { machine: m, sent, probe, seen: { session: m.session, seq: m.seq } });
    this.context.emit({
      t: 'command',
      id,
      machine: m.name,
      addr: m.addr,
      token: this.context.table.token(m),
      session: m.session > 0 ? m.session : 1,
      commands,
    });
  }

  /** `lost`: the command may be executed yet; `refused`: it never left. */
  result(id: number, r: { kind: 'ok' | 'stale'; report: Report | null } | { kind: 'lost' | 'refused' }, now: Ms): void {
    const c = this.sent.get(id);
    if (!c) return;
    this.sent.delete(id);
    if (c.probe) this.probes--;
    const m = c.machine;
    if (m.inflight !== id) return;
    m.inflight = 0;
    // That a machine stands as it stood changes no plan.
    if (!c.probe || !m.resolved || m.lostCount > 0) this.work.wantPlan = true;
    if (!this.work.held.has(m.share)) return;
    // Executed, but what is there now can't be read: as good as no answer.
    if (r.kind === 'ok' && r.report === null) {
      this.context.log('warn', "a worker's answer can not be read", { machine: m.name });
      r = { kind: 'lost' };
    }
    if (r.kind === 'ok' || r.kind === 'stale') {
      this.work.answeredAt = now;
      this.work.unanswered.clear();
      m.lostCount = 0;
      m.lostSince = -1;
    } else {
      if (this.work.heardLately(m, now)) this.work.unanswered.add(m.name);
      m.lostCount++;
      if (m.lostSince < 0) m.lostSince = now;
    }
    if (r.kind === 'ok') {
      if (r.report) this.reports.observe(m, r.report, now, c.seen);
      for (const p of c.sent) {
        if (p.phase === 'sent' && p.machine === m && m.placements.get(taskKey(p.job.spec.id, p.index, p.attempt)) === p)
          this.work.free(p);
      }
      if (c.probe && !m.resolved) {
        m.resolved = true;
        m.suspect = false;
        // Under the new token nothing older can start any more: what the report lacks isn't there.
        for (const p of [...m.placements.values()]) if (p.phase === 'sent') this.work.free(p);
      }
      return;
    }
    if (r.kind === 'stale') {
      for (const p of c.sent) this.work.unsend(p);
      if (r.report) {
        this.reports.observe(m, r.report, now, c.seen);
        if (r.report.token > this.context.table.token(m)) m.retryAt = now + 1000;
      }
      return;
    }
    m.retryAt = now + 700;
    if (r.kind === 'refused') {
      for (const p of c.sent) this.work.unsend(p);
      for (const p of m.placements.values()) p.stopSentAt = -1e12;
      return;
    }
    for (const p of m.placements.values()) p.stopSentAt = -1e12;
    // An empty probe that is executed late does nothing.
    if (!c.probe) m.dirty = true;
  }
}
