/** Starts the project's controllers as deploy/service.toml says, beside the stand-ins, on loopback addresses. */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Cloud, Fleet } from './fleet.mjs';
import { call, sleep } from './http.mjs';
import { StateService } from './state-service.mjs';

const HOST = '127.0.0.1';

/** The settings of the deployments of BRIEF that the cases use. */
export const SITES = {
  'kolkata-wayfinding-hq': {
    zones: ['howrah', 'new-town', 'salt-lake'],
    controllers: ['salt-lake', 'new-town', 'howrah'],
    clockErrorMs: 250,
    teams: [
      { name: 'kiosk-team', gpus: 8, gpusMax: 24 },
      { name: 'cartography', gpus: 2, gpusMax: 16 },
      { name: 'vision-lab', gpus: 8, gpusMax: 24 },
      { name: 'franchise-desk', gpus: 8, gpusMax: 24 },
    ],
    workers: { reportS: 2, leaseS: 12, gangWaitS: 40, gangPeerS: 4, cancelS: 37 },
    state: { rps: 100, writeRps: 20, valueKb: 16, txnOps: 12 },
    cloud: { rps: 6, listLagS: 5 },
    limits: { cpuShare: 0.136, memMb: 178, sockets: 1200 },
    restartMs: 3000,
    types: [
      { name: 'chota-box', cores: 4, accelerators: 0, memory_gb: 16, cache_gb: 40, fetch_gb_per_s: 0.4, hourly: 0.21, spot_price: 0.08, boot_s: 50, yards: ['salt-lake', 'new-town', 'howrah'] },
      { name: 'bhari-gpu', cores: 48, accelerators: 8, memory_gb: 384, cache_gb: 120, fetch_gb_per_s: 0.6, hourly: 21.24, spot_price: 6.94, boot_s: 35, yards: ['salt-lake', 'new-town', 'howrah'] },
    ],
  },
  'leith-logger-cluster': {
    zones: ['glasgow', 'leith'],
    controllers: ['leith', 'glasgow', 'leith'],
    clockErrorMs: 5,
    teams: [
      { name: 'ingest-crew', gpus: 16, gpusMax: 70 },
      { name: 'analytics', gpus: 16, gpusMax: 70 },
      { name: 'ml-wing', gpus: 8, gpusMax: 50 },
      { name: 'firmware', gpus: 8, gpusMax: 35 },
      { name: 'field-ops', gpus: 16, gpusMax: 120 },
      { name: 'client-portal', gpus: 16, gpusMax: 50 },
    ],
    workers: { reportS: 2, leaseS: 10, gangWaitS: 30, gangPeerS: 4, cancelS: 35 },
    state: { rps: 250, writeRps: 100, valueKb: 8, txnOps: 24 },
    cloud: { rps: 3, listLagS: 8 },
    limits: { cpuShare: 0.34, memMb: 178, sockets: 1000 },
    restartMs: 4000,
    types: [
      { name: 'wee-node', cores: 16, accelerators: 0, memory_gb: 64, cache_gb: 50, fetch_gb_per_s: 0.25, hourly: 1.05, spot_price: 0.27, boot_s: 15, yards: ['leith', 'glasgow'] },
      { name: 'mid-node', cores: 32, accelerators: 0, memory_gb: 256, cache_gb: 25, fetch_gb_per_s: 0.8, hourly: 2.85, spot_price: 0.83, boot_s: 50, yards: ['leith', 'glasgow'] },
      { name: 'big-gpu', cores: 48, accelerators: 4, memory_gb: 288, cache_gb: 70, fetch_gb_per_s: 0.2, hourly: 15.31, spot_price: 4.3, boot_s: 45, yards: ['leith', 'glasgow'] },
    ],
  },
};

/** Ports below those that the system gives to outgoing connections, so that a restarted process finds its port free. */
const PORTS = { from: 20_000, to: 32_000 };

const takenPorts = new Set();

export async function freePort(host = HOST) {
  for (let attempt = 0; attempt < 200; attempt++) {
    const port = PORTS.from + Math.floor(Math.random() * (PORTS.to - PORTS.from));
    if (takenPorts.has(port)) continue;
    const isFree = await new Promise((resolve) => {
      const probe = net.createServer();
      probe.once('error', () => resolve(false));
      probe.listen(port, host, () => probe.close(() => resolve(true)));
    });
    if (!isFree) continue;
    takenPorts.add(port);
    return port;
  }
  throw new Error('no free port');
}

const decimal = (value) => (Number.isInteger(value) ? `${value}.0` : String(value));

function settingsOf(site, node, others, { cloud, state }) {
  const team = ({ name, gpus, gpusMax }) =>
    `[[params.teams]]\nname = "${name}"\ncpus = 0.0\ncpus_max = 0.0\ngpus = ${decimal(gpus)}\ngpus_max = ${decimal(gpusMax)}\n`;
  const { workers: w, state: s, cloud: c, limits: l } = site;
  return `host_name = "${node.name}"
location = "${node.zone}"
public_addr = "${node.address}"
peer_listen = "${node.peerListen}"

${others.map((other) => `[[others]]\nhost_name = "${other.name}"\nlocation = "${other.zone}"\npeer_addr = "${other.peerAddressFor?.[node.name] ?? other.peerListen}"\n`).join('\n')}
[external]
cloud = "${node.cloud ?? cloud}"
state = "${node.state ?? state}"

[params]
initial_size = ${others.length + 1}
zones = [${site.zones.map((zone) => `"${zone}"`).join(', ')}]
clock_error_ms = ${decimal(site.clockErrorMs)}

${site.teams.map(team).join('\n')}
[params.workers]
report_s = ${decimal(w.reportS)}
lease_s = ${decimal(w.leaseS)}
gang_wait_s = ${decimal(w.gangWaitS)}
gang_peer_s = ${decimal(w.gangPeerS)}
cancel_s = ${decimal(w.cancelS)}

[params.state]
rps = ${decimal(s.rps)}
write_rps = ${decimal(s.writeRps)}
value_kb = ${decimal(s.valueKb)}
txn_ops = ${s.txnOps}

[params.cloud]
rps = ${decimal(c.rps)}
list_lag_s = ${decimal(c.listLagS)}

[params.machine_limits]
cpu_share = ${l.cpuShare}
mem_mb = ${decimal(l.memMb)}
max_sockets = ${l.sockets}
`;
}

/** One controller: the program of deploy/service.toml as a process of its own. */
export class Controller {
  child = null;
  log = [];

  constructor(cluster, { name, zone }) {
    Object.assign(this, { cluster, name, zone });
  }

  start() {
    const run = /^run = "(.*)"$/m.exec(readFileSync('deploy/service.toml', 'utf8'))[1];
    const [program, ...args] = [...run.split(' '), this.settingsFile];
    const child = spawn(program, args, {
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
    });
    this.child = child;
    this.ended = null;
    let rest = '';
    child.stderr.on('data', (text) => {
      const lines = (rest + text).split('\n');
      rest = lines.pop();
      for (const line of lines) this.take(line);
    });
    child.on('exit', (code, signal) => {
      if (this.child === child) this.ended = { code, signal };
      this.cluster.record('controller', { name: this.name, ended: signal ?? code });
    });
    this.cluster.record('controller', { name: this.name, started: child.pid });
  }

  take(line) {
    let entry;
    try {
      entry = JSON.parse(line);
    } catch {
      entry = { msg: line };
    }
    this.log.push(entry);
    const { level, time, pid, hostname, node, ...said } = entry;
    if (level === undefined || level >= 30) this.cluster.record('log', { name: this.name, ...said });
  }

  signal(name) {
    this.cluster.record('controller', { name: this.name, signal: name });
    this.child?.kill(name);
  }

  async isUp() {
    return (await call(this.address, 'GET', '/up', undefined, { timeoutMs: 1000 }))?.status === 200;
  }
}

/** A deployment: state service, cloud, workers, controllers, and a record of what was sent, answered and run. */
export class Cluster {
  controllers = [];
  accepted = new Map();

  constructor({ siteName, recordFile, machines, mayRent }) {
    this.siteName = siteName;
    this.site = SITES[siteName];
    this.machines = machines;
    this.mayRent = mayRent;
    this.recordFile = recordFile;
    this.beganAt = Date.now();
    writeFileSync(recordFile, '');
    this.folder = mkdtempSync(join(tmpdir(), 'archpost-review-'));
  }

  record(kind, fields) {
    const at = ((Date.now() - this.beganAt) / 1000).toFixed(3);
    appendFileSync(this.recordFile, `${at} ${kind} ${JSON.stringify(fields)}\n`);
  }

  /** `wire(cluster)`: called before the settings are written, to put proxies between. */
  async start(wire = async () => {}) {
    const { site } = this;
    const record = (kind, fields) => this.record(kind, fields);
    this.state = new StateService();
    await this.state.listen(HOST);
    for (const [index, zone] of site.controllers.entries()) {
      const controller = new Controller(this, { name: `berth-${index}`, zone });
      controller.address = `${HOST}:${await freePort()}`;
      controller.peerListen = `${HOST}:${await freePort()}`;
      this.controllers.push(controller);
    }
    this.fleet = new Fleet({
      nodes: this.controllers,
      types: site.types,
      reportS: site.workers.reportS,
      leaseS: site.workers.leaseS,
      gangWaitS: site.workers.gangWaitS,
      gangPeerS: site.workers.gangPeerS,
      record,
      host: HOST,
    });
    this.cloud = new Cloud(this.fleet, site.types, site.cloud.listLagS * 1000, this.mayRent);
    await this.cloud.listen(HOST);
    await wire(this);
    for (const controller of this.controllers) {
      controller.settingsFile = join(this.folder, `${controller.name}.toml`);
      const others = this.controllers.filter((other) => other !== controller);
      writeFileSync(
        controller.settingsFile,
        settingsOf(site, controller, others, { cloud: this.cloud.address, state: this.state.address }),
      );
      controller.start();
    }
    for (const machine of this.machines) await this.fleet.add(machine);
    this.fleet.firstAt = Date.now();
  }

  async untilUp(timeoutMs = 20_000) {
    const until = Date.now() + timeoutMs;
    while (Date.now() < until) {
      const up = await Promise.all(this.controllers.map((controller) => controller.isUp()));
      if (up.every(Boolean)) return true;
      await sleep(200);
    }
    return false;
  }

  /** A submission of a job with the fields of the page; those that are given replace the defaults. */
  job(fields) {
    const job = {
      jobclass: 'tile-render',
      crew: 'cartography',
      shape: 'sweep',
      rank: 'standard',
      pieces: 1,
      cores: 2,
      accelerators: 0,
      memory_gb: 3.7,
      bundle: 'img-01',
      size_gb: 1,
      builds: null,
      yard: null,
      one_zone: false,
      spread: false,
      loaners: true,
      guess_s: 25,
      snapshot_s: 0,
      stow_s: 0,
      due_s: null,
      ...fields,
    };
    this.fleet.jobs.set(job.ref, job);
    return job;
  }

  /** A user's request; repeated as the page says until it is answered, for 60 s. */
  async user(method, path, body, { controller, once = false } = {}) {
    const until = Date.now() + 60_000;
    for (let index = 0; ; index++) {
      const to = controller ?? this.controllers[index % this.controllers.length];
      const answer = await call(to.address, method, path, body, { timeoutMs: method === 'GET' ? 2000 : 5000 });
      this.record('user', { to: to.name, method, path, ref: body?.ref, status: answer?.status ?? null, body: answer?.body ?? null });
      const isFinal = answer !== null && ![429, 503, 504].includes(answer.status);
      if (isFinal || once || Date.now() > until) return answer;
      await sleep(1000);
    }
  }

  submit(job, options) {
    return this.user('POST', '/v2/runs', job, options);
  }

  query(ref, options) {
    return this.user('GET', `/v2/runs/${ref}`, undefined, { once: true, ...options });
  }

  cancel(ref, options) {
    return this.user('POST', `/v2/runs/${ref}/cancel`, {}, options);
  }

  /** The controller that the state service names as the holder of a lease: `lead`, or a shard's number. */
  holderOf(lease) {
    const node = this.state.keys.get(`a/h/${lease}`)?.v?.node;
    return this.controllers.find(({ name }) => name === node) ?? null;
  }

  async until(condition, timeoutMs, stepMs = 50) {
    const end = Date.now() + timeoutMs;
    while (Date.now() < end) {
      const value = await condition();
      if (value) return value;
      await sleep(stepMs);
    }
    return null;
  }

  close() {
    for (const { child } of this.controllers) child?.kill('SIGKILL');
    this.fleet?.close();
    this.cloud?.close();
    this.state?.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Runs a case: exit code 1 if it returns a broken rule, 0 if it returns null, 2 if it throws. */
export async function runCase(cluster, play, limitMs = 115_000) {
  const end = (code, text) => {
    cluster.record('verdict', { code, text });
    console.log(text);
    cluster.close();
    setTimeout(() => process.exit(code), 200);
  };
  const limit = setTimeout(() => end(2, 'the case could not run: out of time'), limitMs);
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => end(2, `the case could not run: ${signal}`));
  process.once('uncaughtException', (error) => end(2, `the case could not run: ${error.message}`));
  // Whatever happens, no process of the case outlives it.
  process.once('exit', () => {
    for (const { child } of cluster.controllers) child?.kill('SIGKILL');
  });
  try {
    const broken = await play();
    clearTimeout(limit);
    if (broken) end(1, `rule broken: ${broken}`);
    else end(0, 'the rule held');
  } catch (error) {
    clearTimeout(limit);
    end(2, `the case could not run: ${error.message}`);
  }
}
