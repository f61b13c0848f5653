/** Controllers: the project's own program, started by the command of the deploy file, as separate processes. */
import { spawn } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { call, sleep } from './http.mjs';

const REPOSITORY = new URL('../../', import.meta.url).pathname;

function freeAddress() {
  return new Promise((resolve, reject) => {
    const probe = net.createServer();
    probe.once('error', reject);
    probe.listen(0, '127.0.0.1', () => {
      const address = `127.0.0.1:${probe.address().port}`;
      probe.close(() => resolve(address));
    });
  });
}

const decimal = (value) => (Number.isInteger(value) ? value.toFixed(1) : String(value));

function settingsText(site, { name, zone, publicAddress, peerAddress }, others) {
  const lines = [`host_name = "${name}"`, `location = "${zone}"`, `public_addr = "${publicAddress}"`, `peer_listen = "${peerAddress}"`];
  for (const other of others)
    lines.push('[[others]]', `host_name = "${other.name}"`, `location = "${other.zone}"`, `peer_addr = "${other.peerAddress}"`);
  lines.push('[external]', `cloud = "${site.cloud}"`, `state = "${site.state}"`, '[params]', `initial_size = ${others.length + 1}`);
  lines.push(`zones = [${site.zones.map((each) => `"${each}"`).join(', ')}]`, 'clock_error_ms = 5.0');
  for (const team of site.teams) {
    lines.push('[[params.teams]]', `name = "${team.name}"`, `cpus = ${decimal(team.cpus ?? 0)}`, `cpus_max = ${decimal(team.cpusMax ?? 0)}`);
    lines.push(`gpus = ${decimal(team.gpus)}`, `gpus_max = ${decimal(team.gpusMax)}`);
  }
  for (const [table, fields] of Object.entries(site.params)) {
    lines.push(`[params.${table}]`);
    for (const [field, value] of Object.entries(fields))
      lines.push(`${field} = ${field === 'txn_ops' || field === 'max_sockets' ? value : decimal(value)}`);
  }
  return `${lines.join('\n')}\n`;
}

export class Controllers {
  /** `site`: `zones`, `teams`, `cloud`, `state`, and the tables of `params`; `zones`: the zone of each controller */
  constructor(site, zones, record) {
    this.site = site;
    this.record = record;
    this.folder = mkdtempSync(join(tmpdir(), 'archpost-review-'));
    this.nodes = zones.map((zone, index) => ({ name: `berth-${index}`, zone, child: null, ends: [], log: '', expected: false }));
  }

  async prepare() {
    if (!existsSync(join(REPOSITORY, 'target/archpost.mjs'))) throw new Error('the program is not built');
    for (const node of this.nodes) {
      node.publicAddress = await freeAddress();
      node.peerAddress = await freeAddress();
    }
  }

  get addresses() {
    return this.nodes.map((node) => node.publicAddress);
  }

  start(index) {
    const node = this.nodes[index];
    const file = join(this.folder, `${node.name}.toml`);
    const others = this.nodes.filter((other) => other !== node);
    writeFileSync(file, settingsText(this.site, node, others));
    const [, run] = /^run\s*=\s*"(.*)"$/m.exec(readFileSync(join(REPOSITORY, 'deploy/service.toml'), 'utf8'));
    const [program, ...options] = run.split(' ');
    const child = spawn(program, [...options, file], {
      cwd: REPOSITORY,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
    });
    node.child = child;
    node.killed = false;
    this.record.add(`controller ${node.name} started`);
    child.stderr.on('data', (text) => {
      node.log = (node.log + text).slice(-200_000);
    });
    child.on('exit', (code, signal) => {
      if (node.child === child) node.child = null;
      this.record.add(`controller ${node.name} ended: ${signal ?? `code ${code}`}${child.killedByTest ? ', by the test' : ''}`);
      if (!child.killedByTest) node.ends.push({ code, signal });
    });
  }

  signal(index, name) {
    this.record.add(`${name} to ${this.nodes[index].name}`);
    this.nodes[index].child?.kill(name);
  }

  async kill(index) {
    const { child } = this.nodes[index];
    if (!child) return;
    child.killedByTest = true;
    const ended = new Promise((resolve) => child.once('exit', resolve));
    this.signal(index, 'SIGKILL');
    await ended;
  }

  /** Restarts each process that ended by itself, `delayMs` after its end, as the platform does, until `close`. */
  superviseEnds(delayMs) {
    this.supervisor = setInterval(() => {
      this.nodes.forEach((node, index) => {
        if (node.child || node.isRestarting || !node.supervised) return;
        node.isRestarting = true;
        setTimeout(() => {
          node.isRestarting = false;
          if (!this.isClosed && !node.child) this.start(index);
        }, delayMs);
      });
    }, 50);
    for (const node of this.nodes) node.supervised = true;
  }

  async isUp(index, timeoutMs = 1000) {
    return (await call(this.nodes[index].publicAddress, 'GET', '/up', undefined, { timeoutMs }))?.status === 200;
  }

  /** Waits until the controllers are healthy. Returns whether they are in time. */
  async waitUntilUp(indices, timeoutMs) {
    const until = performance.now() + timeoutMs;
    const missing = new Set(indices);
    while (missing.size > 0 && performance.now() < until) {
      for (const index of missing) if (await this.isUp(index)) missing.delete(index);
      if (missing.size > 0) await sleep(200);
    }
    return missing.size === 0;
  }

  async close() {
    this.isClosed = true;
    clearInterval(this.supervisor);
    for (let index = 0; index < this.nodes.length; index++) await this.kill(index);
    rmSync(this.folder, { recursive: true, force: true });
  }
}
