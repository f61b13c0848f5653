// What broke a rule at production size, or could have: docs/meetings.md, "Rules that broke".
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Controller, encodeJobSpec, type Job, Replica } from '@archpost/controller';
import type { JobSpec } from '@archpost/protocol';
import { Inbox } from '../packages/server/src/inbox.js';
import { Random } from './randomized/random.js';
import {
  holderOf,
  job,
  SimulatedCluster,
  type SimulatedController,
  type SimulatedWorker,
  settings,
  shardOf,
  smallCluster,
} from './simulation/index.js';

/** Each of these breaks a rule on purpose: the judge of the stand-ins must see it. */
const PLANTED: { rule: RegExp; plant: (cluster: SimulatedCluster, w: SimulatedWorker) => void }[] = [
  {
    rule: /too_early: run-b\/0 starts before run-a is done/,
    plant: (_cluster, w) => w.obey([{ type: 'start', job: 'run-b', index: 0, attempt: 1 }]),
  },
  {
    rule: /ran_cancelled: run-b on m0/,
    plant: (cluster, w) => {
      cluster.finished.add('run-a/0');
      w.obey([{ type: 'start', job: 'run-b', index: 0, attempt: 1 }]);
      cluster.finished.clear();
      cluster.rules.told('run-a', 'aborted');
      w.hung = true;
      cluster.run(37);
    },
  },
  {
    rule: /ran_cancelled: run-a starts/,
    plant: (cluster, w) => {
      cluster.rules.told('run-a', 'aborted');
      cluster.run(37);
      w.obey([{ type: 'start', job: 'run-a', index: 0, attempt: 1 }]);
    },
  },
  {
    rule: /orphaned: run-b is called queued/,
    plant: (cluster) => {
      cluster.rules.told('run-a', 'aborted');
      cluster.run(37);
      cluster.rules.told('run-b', 'queued');
    },
  },
  {
    rule: /orphaned: run-a\/0 runs on, it was told done/,
    plant: (cluster, w) => {
      w.obey([{ type: 'start', job: 'run-a', index: 0, attempt: 1 }]);
      cluster.rules.told('run-a', 'done');
      w.hung = true;
      cluster.run(37);
    },
  },
];

test('the judge of the stand-ins sees each of the rules broken', () => {
  for (const { rule, plant } of PLANTED) {
    const cluster = smallCluster(1);
    for (const node of cluster.controllers) node.crash();
    cluster.specs.set('run-a', job('run-a'));
    cluster.specs.set('run-b', job('run-b'));
    cluster.awaits.set('run-b', ['run-a']);
    assert.throws(() => plant(cluster, cluster.worker('m0') as SimulatedWorker), rule);
  }
});

/** A job is cancelled while its start is on its way; then the start comes back, not carried out. */
function cancelledWhileItsStartIsSent(cluster: SimulatedCluster, fail: () => void, mend: () => void): void {
  fail();
  cluster.submit(job('run-a', { tasks: 2, estimatedRunS: 300 }));
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-a')));
  const allocations = () => [...(owner.controller.clusterState.jobs.get('run-a')?.tenure.allocations.values() ?? [])];
  cluster.runUntil('sent', () => allocations().some((allocation) => allocation.phase === 'sent'), 5);
  cluster.cancel('run-a');
  mend();
  cluster.trace = [];
  cluster.run(20);
  assert.deepEqual(
    cluster.trace.filter((line) => line.includes('starts run-a')),
    [],
  );
  assert.equal(owner.controller.clusterState.jobs.has('run-a'), false, 'nothing is kept of it');
}

// A start that came back unsent was sent again, whatever had become of its job meanwhile.
test('a start that could not be sent is not sent again once its job is cancelled', () => {
  const cluster = smallCluster(4);
  cancelledWhileItsStartIsSent(
    cluster,
    () => {
      cluster.refusesCommands = () => true;
    },
    () => {
      cluster.refusesCommands = () => false;
    },
  );
});

/** One stored record, in the order in which the state service took them. */
type Stored = [key: string, value: unknown];

const accepted = (id: string, aw: string[] = []): Stored => [
  `a/j/${id}`,
  aw.length > 0 ? { s: 3, t: 0, sp: encodeJobSpec(job(id)), aw } : { s: 0, t: 0, sp: encodeJobSpec(job(id)) },
];
const done = (id: string): Stored => [`a/j/${id}`, { s: 1, t: 0, n: 1, e: 0 }];
const cancelled = (id: string): Stored => [`a/j/${id}`, { s: 2, t: 0, sp: encodeJobSpec(job(id)) }];

/** Two chains that share a job: one loses its first job, the other goes on; one job is done before it is named. */
const HISTORY: Stored[] = [
  accepted('run-a'),
  accepted('run-d'),
  accepted('run-m', ['run-a']),
  accepted('run-b', ['run-d', 'run-m']),
  cancelled('run-a'),
  done('run-d'),
  accepted('run-e', ['run-d']),
];

/** What a controller holds of each job. */
function derived(core: Controller, ids: string[]): Record<string, string> {
  const { jobs, finishedJobs } = core.clusterState;
  return Object.fromEntries(ids.map((id) => [id, finishedJobs.get(id) ?? (jobs.get(id)?.isBlocked ? 'waits' : 'may start')]));
}

function* permutations<T>(list: readonly T[]): Generator<T[]> {
  if (list.length === 0) yield [];
  for (const [index, first] of list.entries())
    for (const rest of permutations([...list.slice(0, index), ...list.slice(index + 1)])) yield [first, ...rest];
}

/** Feeds the records in every order, and all of them anew at the end: what is derived has to be the same. */
function inEveryOrder(history: Stored[], expected: Record<string, string>): void {
  const stamped = history.map(([key, value], index) => ({ key, value, revision: index + 1 }));
  const rows = [...new Map(stamped.map((row) => [row.key, row])).values()];
  for (const order of permutations(stamped)) {
    const core = new Controller(settings('n0'), 'boot');
    for (const { key, value, revision } of order) core.replica.set(key, value, revision);
    const said = order.map((row) => `${row.key} ${row.revision}`).join(', ');
    assert.deepEqual(derived(core, Object.keys(expected)), expected, said);
    core.receiveSnapshot(rows, stamped.length, 100);
    assert.deepEqual(derived(core, Object.keys(expected)), expected, `read again: ${said}`);
  }
}

// What is derived must not depend on the order in which records are read: own writes come ahead of others' older ones.
test('whatever the order in which records are read, and read again, the same jobs wait, may start and are cancelled', () => {
  inEveryOrder(HISTORY, {
    'run-a': 'cancelled',
    'run-b': 'cancelled',
    'run-d': 'done',
    'run-e': 'may start',
    'run-m': 'cancelled',
  });
});

test('a list of awaited jobs in parts is known once all parts are, whatever comes first', () => {
  const inParts: Stored = ['a/j/run-p', { s: 3, t: 0, sp: encodeJobSpec(job('run-p')), aw: ['run-d'], x: { k: 'group', n: 2 } }];
  const part = (index: number, id: string): Stored => [`a/x/run-p/group/${index}`, { aw: [id] }];
  const common = [accepted('run-d'), done('run-d'), inParts, part(0, 'run-d')];
  inEveryOrder(common, { 'run-p': 'waits' });
  inEveryOrder([...common, part(1, 'run-d')], { 'run-p': 'may start' });
  inEveryOrder([...common, part(1, 'run-open')], { 'run-p': 'waits' });
  inEveryOrder([...common, part(1, 'run-a'), cancelled('run-a')], { 'run-p': 'cancelled' });
});

// A record that came after unreadable progress was left half read: a job without the jobs that it awaits.
test('a job whose progress can not be read still awaits what its record says', () => {
  for (const digits of ['not digits', 7, null]) {
    const core = new Controller(settings('n0'), 'boot');
    core.replica.set('a/p/run-m/0', digits, 1);
    core.replica.set('a/p/run-m/odd', 'ff', 2);
    for (const [index, [key, value]] of HISTORY.slice(0, 3).entries()) core.replica.set(key, value, index + 3);
    assert.equal(core.clusterState.jobs.get('run-m')?.isBlocked, true);
    assert.equal(core.clusterState.jobs.get('run-a')?.isBlocked, false);
    core.replica.set(...cancelled('run-a'), 9);
    assert.equal(core.clusterState.finishedJobs.get('run-m'), 'cancelled');
  }
});

// What is found on a machine before its record was taken into the table came in without the jobs that it awaits.
test('a job comes into the table by its record alone, also where a machine names it first', () => {
  const core = new Controller(settings('n0'), 'boot');
  for (const [index, [key, value]] of HISTORY.slice(0, 4).entries()) core.replica.set(key, value, index + 1);
  core.clusterState.jobs.delete('run-m');
  const job = core.clusterState.restoreJob('run-m', core.replica.get('a/j/run-m'), 100);
  assert.equal(job?.isBlocked, true);
  assert.equal(core.clusterState.restoreJob('run-never', null, 100), null);
});

// An input that failed took all that waited with it: changes that were lost so were never read again.
test('an input that fails costs no other, and a change that can not be taken none that come with it', () => {
  const seen: string[] = [];
  const failed: unknown[] = [];
  const inbox = new Inbox({
    clock: () => 0,
    onTurnEnd: () => seen.push('carried out'),
    maxClientRequestAgeMs: 1500,
    onError: (error) => failed.push(error),
  });
  inbox.enqueueControlEvent(() => seen.push('first'));
  inbox.enqueueControlEvent(() => {
    throw new Error('odd');
  });
  inbox.enqueueControlEvent(() => seen.push('last'));
  inbox.runTurn();
  assert.deepEqual(seen, ['first', 'last', 'carried out']);
  assert.equal(failed.length, 1);

  const read: string[] = [];
  const errors: string[] = [];
  const replica = new Replica(
    (key) => {
      if (key === 'a/odd') throw new Error('odd');
      read.push(key);
    },
    (key) => errors.push(key),
  );
  const change = (key: string, revision: number) => ({ key, value: {}, revision });
  replica.apply([change('a/1', 1), change('a/odd', 2), change('a/2', 3)], 3);
  replica.reset([change('a/1', 1), change('a/odd', 4), change('a/3', 5)], 5);
  assert.deepEqual(read, ['a/1', 'a/2', 'a/3', 'a/2']);
  assert.deepEqual(errors, ['a/odd', 'a/odd']);
});

// At the slowest rate of changes 240 tokens take a quarter of a minute to raise, and no stop leaves before its machine's is.
test('hundreds of machines lost their commands: those with cancelled work get their tokens, and their stops, first', () => {
  const cluster = new SimulatedCluster(undefined, (settings) => ({
    ...settings,
    state: { ...settings.state, writesPerS: 15, writesPerTransaction: 4 },
    teams: settings.teams.slice(0, 1),
  }));
  for (let index = 0; index < 240; index++) cluster.machine(`m${1000 + index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  const ids = Array.from({ length: 6 }, (_, index) => `run-${index}`);
  for (const id of ids) cluster.submit(job(id, { tasks: 40, cpus: 3, estimatedRunS: 500 }));
  cluster.runUntil('all run', () => ids.every((id) => cluster.runningTasks(id) === 40), 60);
  cluster.run(20);
  // A second task for each machine: its start is lost, and nothing is answered meanwhile that could stop anything.
  cluster.losesCommands = () => true;
  cluster.submit(job('run-more', { tasks: 240, cpus: 1, estimatedRunS: 500 }));
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-0')));
  const machines = () => [...owner.controller.clusterState.machines.values()];
  const sent = () =>
    [...(owner.controller.clusterState.jobs.get('run-more')?.tenure.allocations.values() ?? [])].filter(
      (allocation) => allocation.phase === 'sent',
    );
  cluster.runUntil('the starts are under way', () => sent().length > 200, 20);
  cluster.isStateServiceDown = true;
  const waiting = () => machines().filter((machine) => machine.tenure.hasUncertainCommand).length;
  cluster.runUntil('they are lost', () => waiting() > 200, 20);
  cluster.isStateServiceDown = false;
  cluster.isMute = () => true;
  cluster.cancel('run-5');
  cluster.losesCommands = () => false;
  // Sooner than by their leases, which run out after twelve seconds.
  cluster.runUntil('what is cancelled is gone', () => cluster.machinesRunning('run-5').length === 0, 6);
  assert.ok(waiting() > 20, `${waiting()} machines still wait for their tokens`);
});

// A task that its owner knows nothing of ran on for as long as direct commands didn't get through to its machine.
test('a second attempt of a job that is done is stopped by the answers to reports, and takes no new work meanwhile', () => {
  const cluster = smallCluster(2);
  cluster.submit(job('run-a', { estimatedRunS: 2 }));
  cluster.runUntil('done', () => cluster.queryStatus('run-a') === 'done', 30);
  const w = cluster.worker('m0') as SimulatedWorker;
  cluster.losesCommands = (_n, m) => m === 'm0';
  w.tasks.set('run-a/0/7', {
    job: 'run-a',
    index: 0,
    attempt: 7,
    state: 'running',
    exitReason: null,
    saved: false,
    startedAt: cluster.now + 1e6,
  });
  cluster.runUntil('stopped', () => cluster.machinesRunning('run-a').length === 0, 10);
});

test('a report that names what can not be: it is stopped, and nothing else is harmed', () => {
  const cluster = smallCluster(2);
  cluster.submit(job('run-a', { tasks: 2, cpus: 1, estimatedRunS: 300 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-a') === 2);
  const w = cluster.worker(cluster.machinesRunning('run-a')[0] as string) as SimulatedWorker;
  const odd = { index: 0, attempt: 99, state: 'running' as const, exitReason: null, saved: false, startedAt: cluster.now + 1e6 };
  cluster.specs.set('run-never', job('run-never', { cpus: 1 }));
  w.tasks.set('run-never/0/99', { ...odd, job: 'run-never' });
  w.tasks.set('run-a/7/99', { ...odd, job: 'run-a', index: 7 });
  cluster.run(10);
  assert.deepEqual(
    [...w.tasks.keys()].filter((key) => key.endsWith('/99')),
    [],
  );
  assert.equal(cluster.runningTasks('run-a'), 2);
});

// A rename by tool had left the two sides of the move's flag with different names: what was known from the old shard stayed.
test('what is known of a machine does not outlive its move to another shard', () => {
  const core = new Controller(settings('n0'), 'boot');
  const assignment = (shard: number) => ({ s: shard, a: 'm0:1', t: 'std', z: 'za', sp: false });
  core.replica.set('a/g/m0', assignment(0), 1);
  const machine = core.clusterState.machines.get('m0');
  assert.ok(machine);
  const tenure = machine.tenure;
  core.replica.set('a/g/m0', { ...assignment(0), mv: 1 }, 2);
  assert.equal(machine.tenure, tenure, 'a move that is ordered changes nothing yet');
  core.replica.set('a/g/m0', assignment(1), 3);
  assert.equal(machine.shard, 1);
  assert.notEqual(machine.tenure, tenure, 'the move begins a new tenure');
});

// A new holder that found the work counted its time anew: jobs that are over leave the table of all but their owner.
test('the time of a cancellation counts from its first reading, whoever finds a task of the job later', () => {
  const core = new Controller(settings('n0'), 'boot');
  const [key, value] = accepted('run-a');
  core.receiveChanges([{ key, value, revision: 1 }], 1, 900, 1000);
  core.receiveChanges([{ key, value: cancelled('run-a')[1], revision: 2 }], 2, 1900, 2000);
  assert.equal(core.clusterState.jobs.has('run-a'), false, 'nothing is left to do for it here');
  assert.equal(core.clusterState.restoreJob('run-a', core.replica.get(key), 30_000)?.cancelledAt, 2000);
});

// The two differ in what they store: at the second controller the job awaited is done, and needs no edge any more.
test('an acceptance without an answer is repeated elsewhere, where what it awaits is done meanwhile', () => {
  for (const isLate of [false, true]) {
    const cluster = smallCluster(4);
    const [first, second] = cluster.controllers as [SimulatedController, SimulatedController];
    cluster.submit(job('run-a', { estimatedRunS: 3 }), second);
    cluster.losesTransactionAnswer = (e, apply) => {
      if (!e.writes.some((write) => 'put' in write && write.put === 'a/j/run-b')) return false;
      cluster.at(cluster.now + (isLate ? 9000 : 0), apply);
      return true;
    };
    cluster.specs.set('run-b', job('run-b', { tasks: 2, estimatedRunS: 3 }));
    cluster.awaits.set('run-b', ['run-a']);
    first.submit(cluster.specs.get('run-b') as JobSpec, () => {});
    cluster.run(0.3);
    cluster.losesTransactionAnswer = null;
    cluster.runUntil('the first is done', () => cluster.queryStatus('run-a', second) === 'done', 30);
    cluster.submit(cluster.specs.get('run-b') as JobSpec, second, ['run-a']);
    cluster.runUntil('the second is done', () => cluster.allTasksDone('run-b'), 40);
    for (const node of cluster.controllers) cluster.runUntil('told', () => cluster.queryStatus('run-b', node) === 'done', 10);
  }
});

/** What the jobs that need it give to a job, worked out by the definition alone. */
function inherited(id: string, specs: Map<string, JobSpec>, awaits: Map<string, string[]>): { rank: number; endBy: number } {
  const spec = specs.get(id) as JobSpec;
  let priority = spec.priority;
  let endBy = spec.deadlineS === null ? Number.POSITIVE_INFINITY : spec.deadlineS * 1000;
  for (const [other, names] of awaits) {
    if (!names.includes(id)) continue;
    const from = inherited(other, specs, awaits);
    const { estimatedRunS: estimateS, imageSizeGb: imageGb } = specs.get(other) as JobSpec;
    priority = Math.max(priority, from.rank);
    endBy = Math.min(endBy, from.endBy - (estimateS + imageGb) * 1000);
  }
  return { rank: priority, endBy };
}

// Edges that come raise what is inherited step by step, those that go are worked out anew: both must agree with the definition.
test('inherited priorities and deadlines are what the definition says, in any order and after cancellations', () => {
  for (let seed = 1; seed <= 30; seed++) {
    const random = new Random(seed);
    const specs = new Map<string, JobSpec>();
    const awaits = new Map<string, string[]>();
    for (let index = 0; index < 14; index++) {
      const id = `run-${index}`;
      const deadlineS = random.isUnder(0.4) ? 100 + random.below(900) : null;
      specs.set(id, job(id, { priority: random.below(4), estimatedRunS: 1 + random.below(60), deadlineS }));
      const names = Array.from({ length: Math.min(index, random.below(4)) }, () => `run-${random.below(index)}`);
      awaits.set(id, [...new Set(names)]);
    }
    const core = new Controller(settings('n0'), 'boot');
    const order = [...specs.keys()].sort(() => random.next() - 0.5);
    order.forEach((id, index) => {
      core.replica.set(`a/j/${id}`, { s: 3, t: 0, sp: encodeJobSpec(specs.get(id) as JobSpec), aw: awaits.get(id) }, index + 1);
    });
    // One that others may need, and one that nobody does.
    for (const [index, gone] of [`run-${random.below(14)}`, 'run-13'].entries())
      core.replica.set(`a/j/${gone}`, { s: 2, t: 0, sp: encodeJobSpec(specs.get(gone) as JobSpec) }, 100 + index);
    for (const [id, state] of core.clusterState.finishedJobs) if (state === 'cancelled') awaits.delete(id);
    for (const id of awaits.keys()) {
      const { priority, effectiveDeadlineAt: endBy } = core.clusterState.jobs.get(id) as Job;
      assert.deepEqual({ rank: priority, endBy }, inherited(id, specs, awaits), `seed ${seed}: ${id}`);
    }
  }
});
