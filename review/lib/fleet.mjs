/** Stand-ins of the cloud and of the workers of PROTOCOL. All of a fleet's machines are in one process. */
import http from 'node:http';
import { call, jsonBytes, serve } from './http.mjs';

const MAX_BODY_BYTES = 64 * 1024;
const REPORT_TIMEOUT_MS = 4000;

/** The cloud: machine types, rentals, returns, and a list that lags. */
export class Cloud {
  machines = new Map();
  returned = [];
  bookings = new Map();
  gate = null;

  /** `types`: as in `GET /machine_types`. `mayRent(booking)`: how many machines are rented; 0: no capacity. */
  constructor(fleet, types, lagMs, mayRent = () => 0) {
    Object.assign(this, { fleet, types, lagMs, mayRent });
  }

  async listen(host) {
    ({ server: this.server, address: this.address } = await serve((request) => this.handle(request), host));
    return this.address;
  }

  close() {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  async handle(request) {
    const early = await this.gate?.(request);
    if (early !== undefined && early !== null) return early;
    const { method, path, query, body } = request;
    if (path === '/machine_types') return { status: 200, body: { builds: this.types } };
    if (path === '/machines' && method === 'GET') return this.list(query);
    if (path === '/machines/return') {
      this.returned.push({ at: Date.now(), hosts: body.hosts });
      this.fleet.record('cloud', { returned: body.hosts });
      for (const name of body.hosts) await this.fleet.remove(name);
      return { status: 200, body: {} };
    }
    return this.rent(body);
  }

  async rent({ booking, build, yard, loaners, number }) {
    const known = this.bookings.get(booking);
    if (known) return { status: 200, body: { hosts: known } };
    const count = Math.min(number, this.mayRent({ build, yard, loaners, number }));
    if (count < 1) return { status: 503, body: { error: 'no capacity' } };
    const hosts = [];
    for (let index = 0; index < count; index++) hosts.push(await this.fleet.add({ build, yard, loaners }));
    this.bookings.set(booking, hosts);
    this.fleet.record('cloud', { booking, rented: hosts });
    return { status: 200, body: { hosts } };
  }

  list(query) {
    const since = query.get('since') ?? '';
    const most = Math.min(500, Number(query.get('most') ?? 500));
    const at = Date.now() - this.lagMs;
    const all = this.fleet.listed(at).filter(({ ref }) => ref > since);
    return { status: 200, body: { hosts: all.slice(0, most), has_next: all.length > most } };
  }
}

/** One machine with its worker. */
export class Worker {
  tasks = new Map();
  shift = 1;
  tally = 0;
  baton = 0;
  images = new Set();
  isGone = false;
  isHung = false;
  nodeIndex = 0;
  reportTimer = null;
  lastReportAt = 0;
  agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  /** statuses of the answers to reports */
  answers = new Map();

  constructor(fleet, { name, build, yard, loaners }) {
    Object.assign(this, { fleet, name, build, yard, loaners });
    this.createdAt = Date.now();
    this.renewedFrom = Date.now();
  }

  async start(host) {
    ({ server: this.server, address: this.address } = await serve((request) => this.handle(request), host));
    this.publicAddress = this.address;
    this.schedule(Math.random() * 500);
    this.leaseTimer = setInterval(() => this.checkLease(), 100);
  }

  stop() {
    this.isGone = true;
    clearTimeout(this.reportTimer);
    clearInterval(this.leaseTimer);
    this.agent.destroy();
    this.server.close();
    this.server.closeAllConnections();
    for (const task of this.tasks.values()) this.leave(task, 'machine gone');
    this.tasks.clear();
  }

  report() {
    this.tally++;
    const pieces = [...this.tasks.values()].map(({ piece, try: attempt, status, cause, saved }) => ({
      piece,
      try: attempt,
      status,
      ...(cause ? { cause } : {}),
      ...(saved ? { saved } : {}),
    }));
    return {
      host: this.name,
      address: this.publicAddress,
      build: this.build,
      yard: this.yard,
      loaners: this.loaners,
      shift: this.shift,
      tally: this.tally,
      baton: this.baton,
      warning_s: null,
      pieces,
    };
  }

  schedule(ms) {
    clearTimeout(this.reportTimer);
    if (!this.isGone) this.reportTimer = setTimeout(() => void this.sendReport(), ms);
  }

  /** A change is reported soon, though not more often than every half second. */
  changed() {
    if (!this.isReporting) this.schedule(Math.max(20, this.lastReportAt + 500 - Date.now()));
  }

  async sendReport() {
    if (this.isGone || this.isHung || this.isReporting) return;
    this.isReporting = true;
    const { nodes, reportS } = this.fleet;
    const node = nodes[this.nodeIndex % nodes.length];
    const sentAt = Date.now();
    const { shift } = this;
    this.lastReportAt = sentAt;
    const body = this.report();
    const answer = await call(node.address, 'POST', '/checkin', body, { timeoutMs: REPORT_TIMEOUT_MS, agent: this.agent });
    this.isReporting = false;
    if (this.isGone) return;
    const status = answer?.status ?? 0;
    this.answers.set(status, (this.answers.get(status) ?? 0) + 1);
    this.fleet.onReport?.(this, body, jsonBytes(body), node, status);
    if (status === 200) {
      if (shift === this.shift) this.take(answer.body, sentAt);
      this.schedule(reportS * 1000 * (0.75 + 0.5 * Math.random()));
      return;
    }
    const home = status === 421 ? nodes.findIndex(({ name }) => name === answer.body.home) : -1;
    this.agent.destroy();
    if (home >= 0 && home !== this.nodeIndex % nodes.length) {
      this.nodeIndex = home;
      this.schedule(Math.random() * 500);
    } else {
      this.nodeIndex++;
      this.schedule(1000);
    }
  }

  take({ baton, orders }, sentAt) {
    if (typeof baton !== 'number' || baton < this.baton) return;
    this.baton = baton;
    this.renewedFrom = sentAt;
    for (const order of orders ?? []) this.execute(order, 'answer');
  }

  checkLease() {
    if (this.isHung || Date.now() - this.renewedFrom <= this.fleet.leaseS * 1000) return;
    const count = [...this.tasks.values()].filter(({ status }) => status !== 'ended').length;
    this.fleet.record('worker', { host: this.name, leaseExpired: this.shift, tasksKilled: count });
    for (const task of this.tasks.values()) this.leave(task, 'lease expired');
    this.tasks.clear();
    this.shift++;
    this.renewedFrom = Date.now();
    this.changed();
  }

  async handle({ method, path, body }) {
    while (this.isHung && !this.isGone) await new Promise((resolve) => setTimeout(resolve, 50));
    if (this.isGone) return null;
    if (method === 'GET' && path === '/show') return { status: 200, body: this.report() };
    if (path !== '/do') return { status: 404, body: {} };
    if (typeof body?.baton !== 'number' || typeof body.shift !== 'number') return { status: 400, body: {} };
    if (body.baton < this.baton || body.shift !== this.shift) return { status: 409, body: this.report() };
    this.baton = body.baton;
    for (const order of body.orders ?? []) this.execute(order, 'do');
    if ((body.orders ?? []).length > 0) this.changed();
    return { status: 200, body: this.report() };
  }

  execute({ verb, piece, try: attempt, wind_down_s: windDownS }, by) {
    const key = `${piece}#${attempt}`;
    const task = this.tasks.get(key);
    if (verb === 'run' && !task) this.run(key, piece, attempt, by);
    if (verb === 'stop' && task && task.status !== 'ended') this.endTask(task, 'stopped');
    if (verb === 'clear' && task?.status === 'ended') {
      this.tasks.delete(key);
      this.fleet.record('worker', { host: this.name, cleared: piece, try: attempt });
    }
  }

  run(key, piece, attempt, by) {
    const job = this.fleet.jobs.get(piece.slice(0, piece.lastIndexOf('/')));
    const task = { key, piece, try: attempt, status: 'fetching', job, timers: [] };
    const rival = [...this.tasks.values()].find((other) => other.piece === piece && other.status !== 'ended');
    this.tasks.set(key, task);
    this.fleet.record('worker', { host: this.name, run: piece, try: attempt, by, baton: this.baton });
    if (!job) return this.refuse(task, 'no_such');
    if (rival) return this.refuse(task, 'busy');
    if (!this.hasRoom(task)) return this.refuse(task, 'full');
    const fetchMs = this.images.has(job.bundle) ? 0 : job.size_gb * this.fleet.fetchMsPerGb;
    const begin = () => {
      if (task.status !== 'fetching') return;
      this.images.add(job.bundle);
      this.fleet.enter(task, this);
      if (job.shape === 'gang') return this.gather(task);
      task.status = 'running';
      const { ms, cause } = this.fleet.runOf(task, this);
      if (Number.isFinite(ms)) task.timers.push(setTimeout(() => this.endTask(task, cause ?? 'done'), ms));
      this.changed();
    };
    if (fetchMs > 0) task.timers.push(setTimeout(begin, fetchMs));
    else begin();
  }

  /** A task of a gang waits for the others of its attempt; when the last one is there, they start together. */
  gather(task) {
    task.status = 'gathering';
    task.worker = this;
    const others = this.fleet.gangOf(task);
    others.add(task);
    task.timers.push(setTimeout(() => task.status === 'gathering' && this.endTask(task, 'incomplete'), this.fleet.gangWaitS * 1000));
    if (others.size === task.job.pieces && [...others].every(({ status }) => status === 'gathering')) this.runGang(task, others);
    this.changed();
  }

  runGang(last, gang) {
    for (const task of gang) {
      task.status = 'running';
      task.worker.changed();
    }
    const { ms, cause } = this.fleet.runOf(last, this);
    if (!Number.isFinite(ms)) return;
    setTimeout(() => {
      const isWhole = gang.size === last.job.pieces && [...gang].every(({ status }) => status === 'running');
      if (isWhole) for (const task of [...gang]) task.worker.endTask(task, cause ?? 'done');
    }, ms);
  }

  hasRoom(task) {
    const { cores, memory_gb: memory, accelerators } = this.fleet.typeOf(this.build);
    const free = { cores: cores + 1e-6, memory: memory + 1e-6, accelerators: (accelerators ?? 0) + 1e-6 };
    for (const { job, status } of this.tasks.values()) {
      if (!job || status === 'ended') continue;
      free.cores -= job.cores;
      free.memory -= job.memory_gb;
      free.accelerators -= job.accelerators;
    }
    return free.cores >= 0 && free.memory >= 0 && free.accelerators >= 0;
  }

  refuse(task, cause) {
    task.status = 'ended';
    task.cause = cause;
    this.fleet.record('worker', { host: this.name, refused: task.piece, try: task.try, cause });
    this.changed();
  }

  endTask(task, cause) {
    if (task.status === 'ended' || this.isGone) return;
    this.leave(task, cause);
    task.status = 'ended';
    task.cause = cause;
    this.changed();
  }

  leave(task, why) {
    for (const timer of task.timers) clearTimeout(timer);
    if (task.status !== 'running' && task.status !== 'gathering') return;
    this.fleet.leave(task, this, why);
    if (task.job.shape === 'gang') this.leaveGang(task, why);
  }

  /** The other tasks of a running gang notice that one is gone, and exit. */
  leaveGang(task, why) {
    const gang = this.fleet.gangOf(task);
    gang.delete(task);
    if (task.status !== 'running' || why === 'done') return;
    setTimeout(() => {
      for (const other of [...gang]) if (other.status === 'running') other.worker.endTask(other, 'peers');
    }, this.fleet.gangPeerS * 500);
  }
}

/** The machines, and what is on them as the page counts it: from the image on until the task exits or is killed. */
export class Fleet {
  workers = new Map();
  gone = [];
  jobs = new Map();
  /** by piece: the machines that it is on */
  on = new Map();
  nextNumber = 1;
  fetchMsPerGb = 100;
  /** (task, worker) => {ms, cause}: how long the task runs and how it ends */
  runOf = () => ({ ms: Number.POSITIVE_INFINITY });
  ranTwice = [];
  starts = [];

  /** by job and attempt: the tasks of a gang that are on machines */
  gangs = new Map();

  constructor({ nodes, types, reportS, leaseS, gangWaitS, gangPeerS, record, host }) {
    Object.assign(this, { nodes, types, reportS, leaseS, gangWaitS, gangPeerS, record, host });
  }

  gangOf({ job, try: attempt }) {
    const key = `${job.ref}#${attempt}`;
    if (!this.gangs.has(key)) this.gangs.set(key, new Set());
    return this.gangs.get(key);
  }

  typeOf(name) {
    return this.types.find((type) => type.name === name);
  }

  async add({ build, yard, loaners = false }) {
    const name = `n-${String(this.nextNumber++).padStart(6, '0')}`;
    const worker = new Worker(this, { name, build, yard, loaners });
    await worker.start(this.host);
    await this.onAdded?.(worker);
    this.workers.set(name, worker);
    return name;
  }

  async remove(name) {
    const worker = this.workers.get(name);
    if (!worker) return;
    this.workers.delete(name);
    worker.stop();
    this.gone.push({ name, at: Date.now() });
  }

  listed(at) {
    return [...this.workers.values()]
      .filter(({ createdAt }) => createdAt <= at || createdAt <= this.firstAt)
      .map(({ name, publicAddress, build, yard, loaners, createdAt }) => ({
        ref: name,
        address: publicAddress,
        build,
        yard,
        loaners,
        status: 'running',
        age_s: (Date.now() - createdAt) / 1000 + 600,
      }))
      .sort((a, b) => (a.ref < b.ref ? -1 : 1));
  }

  enter(task, worker) {
    const machines = this.on.get(task.piece) ?? new Map();
    this.on.set(task.piece, machines);
    this.record('task', { start: task.piece, try: task.try, host: worker.name, alsoOn: [...machines.keys()] });
    this.starts.push({ at: Date.now(), piece: task.piece, try: task.try, host: worker.name });
    if (machines.size > 0) this.ranTwice.push({ at: Date.now(), piece: task.piece, try: task.try, host: worker.name, alsoOn: [...machines.keys()] });
    machines.set(worker.name, task.try);
  }

  leave(task, worker, why) {
    this.on.get(task.piece)?.delete(worker.name);
    this.record('task', { end: task.piece, try: task.try, host: worker.name, why });
  }

  close() {
    for (const worker of this.workers.values()) worker.stop();
  }
}
