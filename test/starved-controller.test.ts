// A controller that is short of processor time must not count its own delay as silence of machines.
//
// Guards against two faults. If the age of a machine's last heartbeat counts in full while newer heartbeats (541 to 1,641) wait
// in the controller's own queue, healthy machines are released as silent: with 200 machines that send 100 heartbeats a second,
// 99 within 110 s by a controller that processes 30 a second, and 196 by one that processes 10. If each gap of 0.8 s or more in
// the controller's execution is subtracted without a limit, a controller that runs for 0.1 s of every second never releases a
// dead machine: the age of its last heartbeat stayed below a second for 96 s.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { workerRunning } from './scenarios/partition-scenarios.js';
import {
  job,
  type ProcessorBudget,
  SimulatedCluster,
  type SimulatedController,
  type SimulatedWorker,
} from './simulation/index.js';

const MACHINES = 200;
const SILENT_S = 7;

/** A dead machine is released after this multiple of `silent_s`, as soon as three commands in a row got no response. */
const SILENCE_LIMIT_FACTOR = 3;
const UNANSWERED_COMMANDS = 3;
const COMMAND_TIMEOUT_S = 2.5;
const RETRY_S = 0.7;

/** Processor budgets. A controller that is alone receives 100 heartbeats a second. */
const BUDGETS: readonly (readonly [what: string, budget: ProcessorBudget])[] = [
  ['half of the heartbeats', { runMs: 100, periodMs: 100, inputsPerStep: 5 }],
  ['a third of the heartbeats', { runMs: 100, periodMs: 100, inputsPerStep: 3 }],
  ['a seventh of the time', { runMs: 100, periodMs: 700, inputsPerStep: 30 }],
  ['a seventh of the time and a seventh of the heartbeats', { runMs: 100, periodMs: 700, inputsPerStep: 10 }],
  ['0.3 s of each second and a third of the heartbeats', { runMs: 300, periodMs: 1000, inputsPerStep: 10 }],
  ['0.1 s of each second', { runMs: 100, periodMs: 1000, inputsPerStep: 30 }],
  ['0.1 s of every 3 s', { runMs: 100, periodMs: 3000, inputsPerStep: 100 }],
  ['0.1 s of every 6 s', { runMs: 100, periodMs: 6000, inputsPerStep: 100 }],
];

function runningCluster(controllers: string[]): SimulatedCluster {
  const cluster = new SimulatedCluster(controllers);
  for (let index = 0; index < MACHINES; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  cluster.submit(job('run-v', { shape: 'service', tasks: 100, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-v') === 100);
  // Spreads the heartbeats over time.
  cluster.workers.forEach((worker, index) => {
    worker.nextHeartbeatAt += 100 * ((7 * index) % 20);
  });
  cluster.run(5);
  cluster.trace = [];
  return cluster;
}

function kill(workers: readonly SimulatedWorker[]): void {
  for (const worker of workers) {
    worker.dead = true;
    worker.tasks.clear();
  }
}

const released = (cluster: SimulatedCluster) =>
  cluster.trace.flatMap((line) => /(m\d+) is released/.exec(line)?.[1] ?? []).sort();

const namesOf = (workers: readonly SimulatedWorker[]) => workers.map(({ name }) => name).sort();

/**
 * The longest time until a dead machine is released: the limit of its silence, and the commands that confirm it. The outcome of
 * each command may wait for two periods and behind one input of each machine.
 */
function releaseLimitS({ runMs, periodMs, inputsPerStep }: ProcessorBudget): number {
  const inputsPerPeriod = (inputsPerStep * runMs) / 100;
  const waitS = (periodMs / 1000) * (2 + MACHINES / inputsPerPeriod);
  return SILENCE_LIMIT_FACTOR * SILENT_S + UNANSWERED_COMMANDS * (COMMAND_TIMEOUT_S + RETRY_S + waitS);
}

for (const [what, budget] of BUDGETS) {
  test(`a controller that has processor time for ${what} releases no healthy machine`, () => {
    const cluster = runningCluster(['n0']);
    (cluster.controllers[0] as SimulatedController).processorBudget = budget;
    cluster.run(110);
    assert.deepEqual(released(cluster), []);
  });

  test(`a controller that has processor time for ${what} releases the machines that died, and only these`, () => {
    const cluster = runningCluster(['n0']);
    (cluster.controllers[0] as SimulatedController).processorBudget = budget;
    cluster.run(20);
    const dying = cluster.workers.slice(0, 4);
    kill(dying);
    cluster.run(releaseLimitS(budget));
    assert.deepEqual(released(cluster), namesOf(dying));
    cluster.run(30);
    assert.deepEqual(released(cluster), namesOf(dying));
  });
}

test('a controller that is short of processor time for an hour releases the machines that die, and only these', () => {
  const cluster = runningCluster(['n0']);
  const budget: ProcessorBudget = { runMs: 100, periodMs: 1000, inputsPerStep: 60 };
  (cluster.controllers[0] as SimulatedController).processorBudget = budget;
  const dying: SimulatedWorker[] = [];
  for (let minute = 0; minute < 60; minute++) {
    cluster.run(60);
    assert.deepEqual(released(cluster), namesOf(dying));
    const next = cluster.workers[minute] as SimulatedWorker;
    kill([next]);
    dying.push(next);
  }
});

for (const [what, budget] of BUDGETS) {
  test(`one of three controllers has processor time for ${what}: the twentieth of the machines that dies is released, and no healthy machine`, () => {
    const cluster = runningCluster(['n0', 'n1', 'n2']);
    (cluster.controllers[1] as SimulatedController).processorBudget = budget;
    cluster.run(20);
    const dying = cluster.workers.slice(0, MACHINES / 20);
    kill(dying);
    cluster.run(releaseLimitS(budget) + 30);
    assert.deepEqual(released(cluster), namesOf(dying));
  });
}

test('when a third of the machines die while all controllers are short of processor time, only these are released', () => {
  const cluster = runningCluster(['n0', 'n1', 'n2']);
  const budget: ProcessorBudget = { runMs: 100, periodMs: 700, inputsPerStep: 30 };
  for (const node of cluster.controllers) node.processorBudget = budget;
  cluster.run(10);
  const dying = cluster.workers.filter((_worker, index) => index % 3 === 1);
  kill(dying);
  cluster.run(releaseLimitS(budget) + 60);
  assert.deepEqual(released(cluster), namesOf(dying));
});

test('cancelled tasks on hung machines are gone in time although the controller is short of processor time', () => {
  const cluster = runningCluster(['n0']);
  cluster.submit(job('run-c', { tasks: 8, estimatedRunS: 500 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-c') === 8);
  (cluster.controllers[0] as SimulatedController).processorBudget = { runMs: 100, periodMs: 700, inputsPerStep: 60 };
  cluster.run(10);
  const hanging = cluster.machinesRunning('run-c');
  for (const worker of cluster.workers) if (hanging.includes(worker.name)) worker.hung = true;
  cluster.cancel('run-c');
  // The rules, checked at each step, limit how long a cancelled task may be on a machine.
  cluster.run(45);
  assert.deepEqual(cluster.machinesRunning('run-c'), []);
  assert.deepEqual(released(cluster), [...hanging].sort());
});

test('a spot machine that dies at the end of its notice is released as soon by a controller that is short of processor time', () => {
  const releaseAfterMs = (budget: ProcessorBudget | null) => {
    const cluster = runningCluster(['n0']);
    const worker = workerRunning(cluster, 'run-v');
    (cluster.controllers[0] as SimulatedController).processorBudget = budget;
    worker.preemptionNoticeS = 5;
    cluster.run(5);
    kill([worker]);
    const from = cluster.now;
    cluster.runUntil('released', () => released(cluster).includes(worker.name), 20);
    return cluster.now - from;
  };
  const budget: ProcessorBudget = { runMs: 100, periodMs: 700, inputsPerStep: 60 };
  assert.ok(releaseAfterMs(budget) <= releaseAfterMs(null) + 3 * budget.periodMs);
});

test('commands that a delayed controller withholds do not count as unanswered by the machine', () => {
  const cluster = runningCluster(['n0']);
  const worker = workerRunning(cluster, 'run-v');
  cluster.withholdsCommands = (_controller, machine) => machine === worker.name;
  const { tenure } = cluster.controllers[0]?.controller.clusterState.machines.get(worker.name) ?? {};
  cluster.submit(job('run-w', { tasks: 400, estimatedRunS: 5 }));
  cluster.run(40);
  assert.deepEqual(released(cluster), []);
  assert.equal(tenure?.unansweredCommands, 0);
});

test('an implausible lag measurement does not delay the release of a dead machine, and is logged once', () => {
  const cluster = runningCluster(['n0']);
  const { controller } = cluster.controllers[0] as SimulatedController;
  const messages: string[] = [];
  cluster.onLog = (_controller, { message }) => messages.push(message);
  const [dying] = cluster.workers;
  assert.ok(dying);
  kill([dying]);
  const from = cluster.now;
  while (!released(cluster).includes(dying.name) && cluster.now < from + 3 * SILENT_S * 1000) {
    for (const lagMs of [Number.NaN, -5, Number.POSITIVE_INFINITY, cluster.now + 1]) controller.recordLag(lagMs, cluster.now);
    cluster.run(0.1);
  }
  assert.ok(cluster.now - from <= (SILENT_S + 2) * 1000, `released after ${cluster.now - from} ms`);
  assert.equal(messages.filter((message) => message === 'implausible lag measurement').length, 1);
});
