// Controllers, state service, cloud, workers and users in one simulated time. Nothing here is random.
import assert from 'node:assert/strict';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import type { ControllerSettings, Effect } from '@archpost/controller';
import type { Command, Heartbeat, JobSpec, ListedMachine } from '@archpost/protocol';
import { Node } from './controller.js';
import { Rules } from './rules.js';
import { StateStandIn } from './state-service.js';
import { WorkerStandIn } from './worker.js';

/** The whole world. Every step checks the rules that can be seen from the workers. */
export class Cluster {
  now = 0;
  readonly leaseMs = 12_000;
  readonly state = new StateStandIn();
  readonly nodes: Node[];
  readonly workers: WorkerStandIn[] = [];
  readonly specs = new Map<string, JobSpec>();
  /** the jobs that a job awaits, as its user says at each submission */
  readonly awaits = new Map<string, string[]>();
  readonly cancelledAt = new Map<string, number>();
  readonly finished = new Set<string>();
  readonly rules = new Rules(this);
  /** jobs submitted with a mistake: their tasks fail wherever they start */
  readonly mistaken = new Set<string>();
  stateDown = false;
  cloudDown = false;
  /** says whether a transaction's answer is lost; `apply` carries it out, now or later */
  loseTxn: ((e: Extract<Effect, { type: 'compareAndSwap' }>, apply: () => void) => boolean) | null = null;
  /** commands that were lost arrive after so long all the same; null: never */
  lateMs: (() => number) | null = null;
  /** true if the two can't reach each other */
  cut: (a: string, b: string) => boolean = () => false;
  /** true if what this controller sends doesn't reach the machine, though its reports arrive */
  deaf: (controller: string, machine: string) => boolean = () => false;
  /** true if direct commands to it are lost, while its reports are answered */
  commandsLost: (controller: string, machine: string) => boolean = () => false;
  /** true if no connection to the machine can be opened: a direct command never leaves */
  commandsRefused: (controller: string, machine: string) => boolean = () => false;
  /** true if what the first controller tells the second is lost, though not the other way round */
  unheard: (from: string, to: string) => boolean = () => false;
  /** true if it comes late */
  held: (from: string, to: string) => boolean = () => false;
  /** true if the machine's answers to commands, which it carries out, can't be read */
  garbled: (controller: string, machine: string) => boolean = () => false;
  /** true if the machine reaches no controller, though direct commands reach it */
  mute: (machine: string) => boolean = () => false;
  /** sees every message between controllers as it leaves */
  peerBytes: ((bytes: Uint8Array) => void) | null = null;
  /** sees every report as it leaves, to deliver copies late */
  reported: ((heartbeat: Heartbeat) => void) | null = null;
  /** how long the answer to a transaction takes, once it is carried out */
  answerMs: (controller: string) => number = () => 10;
  /** the cloud has machines left: they are up so long after they were rented */
  bootMs: (() => number) | null = null;
  private rented = 0;
  /** reports passed on whole by keepers */
  relays = 0;
  /** bytes of statuses between controllers, and how many were sent */
  statusBytes = 0;
  statuses = 0;
  /** changes sent to the state service, by the kind of key */
  readonly changes = new Map<string, number>();
  /** readings of the state service that were asked for, and commands with something in them */
  barriers = 0;
  commands = 0;
  /** lists that were asked of the cloud */
  lists = 0;
  /** sees the commands of each message to a worker */
  commanded: ((commands: Command[]) => void) | null = null;
  /** what was asked of the cloud, which has nothing left */
  readonly rents: { type: string; spot: boolean; at: number }[] = [];
  /** questions under way to workers, the most at once at any controller */
  mostAsked = 0;
  trace: string[] = [];
  private queue: { at: number; run: () => void }[] = [];
  private readonly byName = new Map<string, WorkerStandIn>();

  constructor(
    readonly names = ['n0', 'n1', 'n2'],
    readonly tune: (settings: ControllerSettings) => ControllerSettings = (settings) => settings,
  ) {
    this.nodes = names.map((n) => new Node(this, n));
  }

  worker(name: string): WorkerStandIn | undefined {
    return this.byName.get(name);
  }

  node(name: string): Node {
    return this.nodes.find((node) => node.name === name) as Node;
  }

  note(text: string): void {
    this.trace.push(`${(this.now / 1000).toFixed(1).padStart(6)} ${text}`);
  }

  at(when: number, run: () => void): void {
    this.queue.push({ at: when, run });
  }

  machine(name: string, type = 'small', zone = 'east', spot = false): WorkerStandIn {
    const w = new WorkerStandIn(this, name, type, zone, spot);
    this.workers.push(w);
    this.byName.set(name, w);
    return w;
  }

  /** Machines of the cloud, up after a while; null: it has none. */
  rent(type: string, zone: string, spot: boolean, count: number): string[] | null {
    if (!this.bootMs || this.cloudDown) return null;
    const names = Array.from({ length: count }, () => `r${this.rented++}`);
    for (const name of names) this.at(this.now + this.bootMs(), () => void this.machine(name, type, zone, spot));
    return names;
  }

  /** What the cloud lists: in this stand-in only what it rented out itself. */
  listing(): ListedMachine[] {
    if (!this.bootMs) return [];
    return this.workers
      .filter((w) => !w.dead)
      .map((w) => ({
        machine: w.name,
        address: w.name,
        type: w.type,
        zone: w.zone,
        spot: w.spot,
        state: 'running' as const,
        ageS: (this.now - w.bornAt) / 1000,
      }));
  }

  remove(name: string): void {
    const w = this.byName.get(name);
    if (!w) return;
    w.dead = true;
    w.tasks.clear();
    this.note(`${name} is given back`);
  }

  run(seconds: number): void {
    const end = this.now + seconds * 1000;
    while (this.now < end) {
      this.now += 100;
      const due = this.queue.filter((q) => q.at <= this.now).sort((a, b) => a.at - b.at);
      this.queue = this.queue.filter((q) => q.at > this.now);
      for (const q of due) q.run();
      // After an outage all leases have their full time again.
      if (this.stateDown) for (const l of this.state.leases.values()) l.until = this.now + l.ttl;
      else this.state.expire(this.now);
      for (const w of this.workers) w.tick();
      for (const node of this.nodes) node.tick();
      this.rules.checkStep();
    }
  }

  /** Runs until the condition holds; fails if it doesn't within the time. */
  until(what: string, holds: () => boolean, seconds = 60): void {
    const end = this.now + seconds * 1000;
    while (!holds()) {
      assert.ok(this.now < end, `not within ${seconds} s: ${what}\n${this.trace.join('\n')}`);
      this.run(0.1);
    }
  }

  submit(spec: JobSpec, at = this.nodes.find((node) => node.up) as Node, awaits: string[] = []): void {
    this.specs.set(spec.id, spec);
    if (awaits.length > 0) this.awaits.set(spec.id, awaits);
    let status = 0;
    at.submit(spec, (code) => {
      status = code;
    });
    this.until(`${spec.id} accepted`, () => status !== 0, 6);
    this.note(`user told ${status} for ${spec.id}`);
  }

  cancel(id: string, at = this.nodes.find((node) => node.up) as Node): void {
    let told = '';
    at.cancel(id, (_code, body) => {
      told = String(body.status ?? body.error);
    });
    this.until(`${id} cancelled`, () => told !== '', 6);
    this.rules.told(id, told);
    this.note(`user told ${told} for ${id}`);
  }

  /** What a user is told: status code and state. */
  ask(id: string, at = this.nodes.find((node) => node.up) as Node): string {
    let said = '';
    at.poll(id, (code, body) => {
      said = code === 200 ? String(body.status) : String(code);
    });
    this.until(`${id} answered`, () => said !== '', 6);
    this.rules.told(id, said);
    return said;
  }

  on(id: string): string[] {
    return this.workers
      .filter((w) => !w.dead && [...w.tasks.values()].some((t) => t.job === id && t.state !== 'exited'))
      .map((w) => w.name);
  }

  running(id: string): number {
    return this.workers.reduce(
      (count, w) => count + (w.dead ? 0 : [...w.tasks.values()].filter((t) => t.job === id && t.state === 'running').length),
      0,
    );
  }

  broken(what: string): never {
    assert.fail(`${what}\n${this.trace.join('\n')}`);
  }

  /** All tasks of the job are done. */
  allDone(id: string): boolean {
    const spec = this.specs.get(id);
    if (!spec) return false;
    const done = Array.from({ length: spec.tasks }, (_, index) => this.finished.has(`${id}/${index}`));
    // A gang completes together: if one task is done, all are.
    return spec.shape === 'gang' ? done.some((x) => x) : done.every((x) => x);
  }

  /** Controllers up, machines granted and answering. */
  settle(): void {
    this.until(
      'all machines granted',
      () =>
        this.workers.every(
          (w) =>
            w.dead || [...this.nodes].some((node) => node.up && node.core.clusterState.machines.get(w.name)?.tenure.isVerified),
        ),
      40,
    );
    this.run(1);
    this.trace = [];
  }
}

/** Small machines in both zones by turns, granted and answering. */
export function smallCluster(machines: number): Cluster {
  const cluster = new Cluster();
  for (let index = 0; index < machines; index++) cluster.machine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.settle();
  return cluster;
}

const anyUp = (cluster: Cluster) => cluster.nodes.find((node) => node.up);

/** The share that a job belongs to, and the controller that holds a share, as any controller sees it. */
export const shareOf = (cluster: Cluster, id: string): number => anyUp(cluster)?.core.clusterState.jobs.get(id)?.shard ?? -1;
export const holderOf = (cluster: Cluster, shard: number | 'lead'): string =>
  anyUp(cluster)?.core.clusterState.leaseOf(shard)?.holder.controller ?? '';

/**
 * Compares what happened with the trace kept under test/traces, which is there to be read.
 * UPDATE_TRACES=1 writes it anew: look at what changed before committing it.
 */
export function kept(cluster: Cluster, name: string): void {
  const path = `test/traces/${name}.txt`;
  const text = `${cluster.trace.join('\n')}\n`;
  if (process.env.UPDATE_TRACES === '1') {
    mkdirSync('test/traces', { recursive: true });
    writeFileSync(path, text);
  }
  assert.equal(text, readFileSync(path, 'utf8'), `differs from ${path}`);
}
