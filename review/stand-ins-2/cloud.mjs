/** The cloud and the workers of PROTOCOL. The workers report, execute commands, keep tokens, sessions and leases. */
import http from 'node:http';
import { call, createServer, listen, sleep } from './http.mjs';

const FETCH_MS = 200;
const HEARTBEAT_TIMEOUT_MS = 4000;
const NEXT_NODE_MS = 1000;

const pieceJob = (piece) => piece.slice(0, piece.lastIndexOf('/'));

/** One worker. `isOn` of a task: it has its image and has not ended. */
export class Worker {
  constructor(cloud, machine) {
    this.cloud = cloud;
    this.machine = machine;
    this.tasks = new Map();
    this.shift = 1;
    this.tally = 0;
    this.baton = 0;
    this.node = Math.floor(Math.random() * cloud.nodes.length);
    this.isGone = false;
    /** the reports that it has sent, for copies that arrive late */
    this.sentReports = [];
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.server = createServer((request) => this.handle(request), true);
    this.answeredSentAt = performance.now();
  }

  async start(port = 0) {
    this.machine.address = await listen(this.server, port);
    this.leaseTimer = setInterval(() => this.checkLease(), 100);
    void this.reportLoop();
  }

  /** The machine is gone, and everything on it. */
  stop() {
    this.isGone = true;
    clearInterval(this.leaseTimer);
    this.wake?.();
    for (const task of this.tasks.values()) this.end(task, 'gone');
    this.tasks.clear();
    this.agent.destroy();
    this.server.close();
    this.server.closeAllConnections();
  }

  /** The machine hangs: it runs and answers nothing, and goes on afterwards with what has arrived meanwhile. */
  hang(ms) {
    this.cloud.record.add(`machine ${this.machine.name} hangs for ${ms / 1000} s`);
    this.hangsUntil = performance.now() + ms;
  }

  async afterHang() {
    while (performance.now() < (this.hangsUntil ?? 0)) await sleep(20);
  }

  /** The machine stops with all that is on it and is back after `ms`: a new worker with the same name and address. */
  async restart(ms) {
    this.cloud.record.add(`machine ${this.machine.name} stops, and is back after ${ms} ms`);
    for (const task of this.tasks.values()) this.end(task, 'gone');
    this.tasks.clear();
    this.hangsUntil = performance.now() + ms;
    await this.afterHang();
    Object.assign(this, { shift: 1, tally: 0, baton: 0, answeredSentAt: performance.now() });
  }

  checkLease() {
    if (performance.now() < (this.hangsUntil ?? 0)) return;
    if (performance.now() - this.answeredSentAt <= this.cloud.leaseS * 1000) return;
    this.cloud.record.add(`worker ${this.machine.name}: its lease ended, session ${this.shift + 1}, ${this.tasks.size} tasks dropped`);
    for (const task of this.tasks.values()) this.end(task, 'lease');
    this.tasks.clear();
    this.shift++;
    this.answeredSentAt = performance.now();
    this.wake?.();
  }

  report() {
    const { name, address, type, zone, spot } = this.machine;
    const pieces = [...this.tasks.values()].map(({ piece, attempt, status, cause, saved }) => ({
      piece,
      try: attempt,
      status,
      ...(cause ? { cause } : {}),
      ...(saved ? { saved } : {}),
    }));
    return { host: name, address, build: type, yard: zone, loaners: spot, shift: this.shift, tally: ++this.tally, baton: this.baton, warning_s: null, pieces };
  }

  async reportLoop() {
    while (!this.isGone) {
      await this.afterHang();
      const { nodes, names, reportS } = this.cloud;
      const shift = this.shift;
      const sentAt = performance.now();
      const report = this.report();
      this.sentReports.push(report);
      const response = await call(nodes[this.node], 'POST', '/checkin', report, { timeoutMs: HEARTBEAT_TIMEOUT_MS, agent: this.agent });
      await this.afterHang();
      if (this.isGone) return;
      const home = response?.status === 421 ? names.indexOf(response.body.home) : -1;
      if (response?.status === 200) {
        if (this.shift === shift && this.execute(response.body)) this.answeredSentAt = sentAt;
        await this.pause(reportS * 1000 * (0.75 + Math.random() / 2));
      } else if (home >= 0 && home !== this.node) {
        this.node = home;
        await sleep(Math.random() * 500);
      } else {
        if (response && response.status !== 421 && response.status !== 503)
          this.cloud.record.add(`worker ${this.machine.name}: its report got ${response.status}`);
        this.node = (this.node + 1) % nodes.length;
        await sleep(NEXT_NODE_MS);
      }
    }
  }

  /** Waits for the next report: the interval, or a change, but at least half a second. */
  async pause(ms) {
    await sleep(500);
    if (this.hasChanged) {
      this.hasChanged = false;
      return;
    }
    await new Promise((resolve) => {
      const timer = setTimeout(resolve, Math.max(0, ms - 500));
      this.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.hasChanged = false;
  }

  changed() {
    this.hasChanged = true;
    this.wake?.();
  }

  async handle({ path, body }) {
    await this.afterHang();
    if (this.isGone) return null;
    if (path === '/show') return { status: 200, body: this.report() };
    if (path !== '/do' || body.baton == null || body.shift == null) return { status: 400, body: {} };
    if (Number(body.shift) !== this.shift) return { status: 409, body: this.report() };
    if (!areOrdersValid(body.orders ?? [])) {
      this.cloud.record.add(`worker ${this.machine.name}: orders with a try that is no integer below 2^64: ${describe(body.orders)}`);
      this.cloud.invalidOrders++;
      return { status: 400, body: {} };
    }
    return { status: this.execute(body) ? 200 : 409, body: this.report() };
  }

  /** Executes the orders unless the token is lower than the highest one seen. Returns false if it is. */
  execute({ baton, orders = [] }) {
    if (baton == null || Number(baton) < Number(this.baton)) return false;
    this.baton = baton;
    for (const order of orders) this.executeOrder(order);
    return true;
  }

  executeOrder({ verb, piece, try: attempt, wind_down_s: graceS }) {
    const key = `${piece} ${attempt}`;
    const task = this.tasks.get(key);
    this.cloud.record.add(`worker ${this.machine.name}: ${verb} ${piece} try ${attempt}`);
    if (verb === 'run' && !task) this.run(key, piece, attempt);
    if (verb === 'stop' && task && task.status !== 'ended') this.end(task, 'stopped', graceS);
    if (verb === 'clear' && task?.status === 'ended') this.tasks.delete(key);
    this.changed();
  }

  run(key, piece, attempt) {
    const job = this.cloud.jobs.get(pieceJob(piece));
    const task = { piece, attempt, status: 'fetching', cause: null, isOn: false, job };
    this.tasks.set(key, task);
    const others = [...this.tasks.values()].filter((other) => other !== task && other.status !== 'ended');
    if (!job) return this.refuse(task, 'no_such');
    if (others.some((other) => other.piece === piece)) return this.refuse(task, 'busy');
    const type = this.cloud.types.find(({ name }) => name === this.machine.type);
    for (const resource of ['cores', 'accelerators', 'memory_gb'])
      if (others.reduce((sum, other) => sum + other.job[resource], job[resource]) > type[resource] + 1e-9) return this.refuse(task, 'full');
    setTimeout(() => this.begin(task), FETCH_MS);
  }

  refuse(task, cause) {
    Object.assign(task, { status: 'ended', cause });
    this.cloud.record.add(`worker ${this.machine.name}: refused ${task.piece}: ${cause}`);
  }

  begin(task) {
    if (this.isGone || task.status !== 'fetching') return;
    task.status = 'running';
    task.isOn = true;
    this.cloud.taskStarted(this, task);
    const runMs = this.cloud.runMs(task.piece);
    if (Number.isFinite(runMs)) setTimeout(() => task.status === 'running' && this.end(task, 'done'), runMs);
    this.changed();
  }

  end(task, cause) {
    if (task.status === 'ended') return;
    Object.assign(task, { status: 'ended', cause, isOn: false });
    this.cloud.record.add(`worker ${this.machine.name}: ${task.piece} try ${task.attempt} ended: ${cause}`);
    if (cause === 'done') this.cloud.done.add(task.piece);
    this.changed();
  }
}

const isInteger64 = (value) => (typeof value === 'bigint' ? value >= 0n && value < 1n << 64n : Number.isSafeInteger(value) && value >= 0);
const areOrdersValid = (orders) => orders.every((order) => isInteger64(order.try));
const describe = (orders) => orders.map((order) => `${order.verb} ${order.piece} try ${order.try}`).join(', ');

export class Cloud {
  /** `types`: as GET /machine_types lists them; `zones`; `workers`: reportS, leaseS */
  constructor({ types, reportS, leaseS, runMs, record, listLagS = 1 }) {
    Object.assign(this, { types, reportS, leaseS, runMs, record, listLagS });
    this.workers = new Map();
    this.jobs = new Map();
    this.done = new Set();
    this.bookings = new Map();
    this.nextMachine = 1;
    this.invalidOrders = 0;
    this.starts = 0;
    this.violations = [];
    /** may rent; otherwise there is no capacity */
    this.canRent = () => false;
    this.server = createServer((request) => this.handle(request));
  }

  async start() {
    this.address = await listen(this.server);
    return this.address;
  }

  setNodes(names, addresses) {
    this.names = names;
    this.nodes = addresses;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
    for (const { worker } of this.workers.values()) worker.stop();
  }

  /** Adds a machine that is up. Resolves with its worker. */
  async add(type, zone, spot = false, port = 0) {
    const name = `n-${String(this.nextMachine++).padStart(6, '0')}`;
    const worker = new Worker(this, { name, type, zone, spot, address: '' });
    await worker.start(port);
    this.workers.set(name, { worker, since: performance.now() });
    this.record.add(`machine ${name} ${type} ${zone}${spot ? ' spot' : ''} at ${worker.machine.address}`);
    return worker;
  }

  remove(name, why) {
    const entry = this.workers.get(name);
    if (!entry) return;
    this.record.add(`machine ${name} is gone: ${why}`);
    this.workers.delete(name);
    entry.worker.stop();
  }

  /** Checks the rules `ran_twice` and `wrong_place` as a task starts. */
  taskStarted(worker, task) {
    this.starts++;
    const { machine } = worker;
    this.record.add(`worker ${machine.name}: ${task.piece} try ${task.attempt} runs`);
    for (const { worker: other } of this.workers.values()) {
      if (other === worker) continue;
      for (const elsewhere of other.tasks.values())
        if (elsewhere.isOn && elsewhere.piece === task.piece)
          this.violate('ran_twice', `${task.piece} starts on ${machine.name} (try ${task.attempt}) while it is on ${other.machine.name} (try ${elsewhere.attempt})`);
    }
    const { builds, yard, loaners } = task.job;
    if (builds && !builds.includes(machine.type)) this.violate('wrong_place', `${task.piece} starts on a ${machine.type}; allowed: ${builds.join(', ')}`);
    if (yard && yard !== machine.zone) this.violate('wrong_place', `${task.piece} starts in ${machine.zone}; allowed: ${yard}`);
    if (machine.spot && !loaners) this.violate('wrong_place', `${task.piece} starts on a spot machine`);
  }

  violate(rule, what) {
    this.violations.push({ rule, what });
    this.record.add(`RULE ${rule}: ${what}`);
  }

  async handle({ method, path, query, body }) {
    if (path === '/machine_types') return { status: 200, body: { builds: this.types } };
    if (path === '/machines' && method === 'GET') return this.list(query);
    if (path === '/machines') return this.rent(body);
    if (path === '/machines/return') {
      for (const name of body.hosts) this.remove(name, 'returned');
      return { status: 200, body: {} };
    }
    return { status: 400, body: {} };
  }

  list(query) {
    const since = query.get('since') ?? '';
    const now = performance.now();
    const all = [...this.workers].filter(([name, entry]) => name > since && now - entry.since > this.listLagS * 1000);
    const hosts = all.slice(0, Number(query.get('most') ?? 500)).map(([name, { worker, since: from }]) => ({
      ref: name,
      address: worker.machine.address,
      build: worker.machine.type,
      yard: worker.machine.zone,
      loaners: worker.machine.spot,
      status: 'running',
      age_s: 60 + (now - from) / 1000,
    }));
    return { status: 200, body: { hosts, has_next: hosts.length < all.length } };
  }

  async rent({ booking, build, yard, loaners, number }) {
    const known = this.bookings.get(booking);
    if (known) return { status: 200, body: { hosts: known } };
    if (!this.canRent(build, yard, loaners)) return { status: 503, body: { error: 'no capacity' } };
    const hosts = [];
    this.bookings.set(booking, hosts);
    for (let count = 0; count < number && this.canRent(build, yard, loaners); count++)
      hosts.push((await this.add(build, yard, loaners, this.nextPort?.() ?? 0)).machine.name);
    return { status: 200, body: { hosts } };
  }
}
