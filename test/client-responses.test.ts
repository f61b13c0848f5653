// Responses to users stay linearizable while reads, writes and their responses are slow or lost.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '@archpost/protocol';
import { LoadShedder } from '../packages/http-api/src/load-shedder.js';
import { holderOf, job, type SimulatedCluster, type SimulatedController, shardOf, smallCluster } from './simulation/index.js';

test('late repeats of submissions and cancellations change nothing', () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-once', { estimatedRunS: 3 }));
  cluster.submit(job('run-gone', { estimatedRunS: 400 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-gone') === 1);
  cluster.cancel('run-gone');
  cluster.runUntil('done', () => cluster.queryStatus('run-once') === 'done', 40);
  const starts = cluster.trace.filter((line) => line.includes('starts')).length;
  for (const node of cluster.controllers) {
    cluster.submit(cluster.specs.get('run-once') as ReturnType<typeof job>, node);
    cluster.submit(cluster.specs.get('run-gone') as ReturnType<typeof job>, node);
    cluster.cancel('run-once', node);
  }
  cluster.run(10);
  assert.equal(cluster.trace.filter((line) => line.includes('starts')).length, starts, 'nothing is started again');
  for (const node of cluster.controllers) {
    assert.equal(cluster.queryStatus('run-once', node), 'done');
    assert.equal(cluster.queryStatus('run-gone', node), 'aborted');
  }
  assert.equal(cluster.trace.filter((line) => line.includes('user received 201')).length, 2);
});

test('a burst of 1,000 status queries shares reads of the state service, and every query is answered within a second', () => {
  const cluster = smallCluster(4);
  for (let index = 0; index < 10; index++) cluster.submit(job(`run-${index}`, { tasks: 1, estimatedRunS: 600 }));
  cluster.run(5);
  const node = cluster.controllers[1];
  assert.ok(node);
  const responseCounts = new Map<string, number>();
  for (let index = 0; index < 1000; index++) {
    const id = index < 990 ? `run-${index % 10}` : `run-none-${index}`;
    node.queryStatus(id, (status) => responseCounts.set(`${id} ${status}`, (responseCounts.get(`${id} ${status}`) ?? 0) + 1));
  }
  cluster.run(1);
  for (let index = 0; index < 10; index++) assert.equal(responseCounts.get(`run-${index} 200`), 99);
  assert.equal([...responseCounts.keys()].filter((key) => key.endsWith(' 404')).length, 10);
});

test('load shedding in a burst of status queries is fair: no job goes without a response for long, and submissions are admitted', () => {
  let now = 0;
  const loadShedder = new LoadShedder(() => now);
  const lastAdmittedAt = new Map<string, number>();
  let queryCount = 0;
  let admittedCount = 0;
  let longestGapMs = 0;
  for (now = 0; now < 120_000; now += 10) {
    // Timers are 250 ms late all the time, and 900 ms late for 20 s.
    if (now % 100 === 0) loadShedder.recordTimerDelay(now > 40_000 && now < 60_000 ? 900 : 250);
    const id = `run-${(now / 10) % 100}`;
    queryCount++;
    if (loadShedder.admitStatusQuery(id)) {
      admittedCount++;
      loadShedder.recordStatusResponse(id);
      longestGapMs = Math.max(longestGapMs, now - (lastAdmittedAt.get(id) ?? 0));
      lastAdmittedAt.set(id, now);
    }
    if (now < 40_000) assert.ok(loadShedder.admitMutation());
  }
  assert.ok(admittedCount < queryCount / 3, `${admittedCount} of ${queryCount} queries admitted`);
  assert.equal(lastAdmittedAt.size, 100);
  assert.ok(longestGapMs < 35_000, `a job went without a response for ${longestGapMs} ms`);
});

/** Sends one request; returns a function that waits for the response and returns its status code and job status. */
function sendRequest(
  cluster: SimulatedCluster,
  send: (onResponse: (status: number, body: Record<string, unknown>) => void) => void,
): () => string {
  let response = '';
  send((status, body) => {
    response = `${status} ${String(body.status ?? '')}`.trim();
  });
  return () => {
    if (response === '') cluster.runUntil('the response arrives', () => response !== '', 6);
    return response;
  };
}

test('the response to a submission is slow: a job that another controller cancelled meanwhile is reported as aborted, not as queued', () => {
  const cluster = smallCluster(4);
  cluster.transactionResponseMs = (n) => (n === 'n0' ? 1200 : 10);
  const slowResponse = sendRequest(cluster, (onResponse) => cluster.controller('n0').submit(job('run-a'), onResponse));
  cluster.specs.set('run-a', job('run-a'));
  cluster.run(0.3);
  assert.equal(cluster.queryStatus('run-a', cluster.controller('n1')), 'running');
  cluster.cancel('run-a', cluster.controller('n1'));
  assert.equal(slowResponse(), '200 aborted');
});

test('only transaction responses are lost: no controller reports an older state of a job that was accepted, done or cancelled', () => {
  const cluster = smallCluster(6);
  // Each transaction is applied at once, and every other response is lost.
  let count = 0;
  cluster.losesTransactionResponse = (_e, apply) => {
    if (count++ % 2 === 0) return false;
    apply();
    return true;
  };
  for (let index = 0; index < 6; index++) {
    const id = `run-q${index}`;
    const spec = job(id, { estimatedRunS: 2, team: ['red', 'blue', 'green'][index % 3] as string });
    cluster.specs.set(id, spec);
    const at = (i: number) => cluster.controllers[(index + i) % 3] as SimulatedController;
    const first = sendRequest(cluster, (onResponse) => at(0).submit(spec, onResponse));
    const repeated = sendRequest(cluster, (onResponse) => at(1).submit(spec, onResponse));
    assert.match(`${first()} ${repeated()}`, /^(200|201) \w+ (200|201) \w+$/);
    for (const node of cluster.controllers) assert.notEqual(cluster.queryStatus(id, node), '404');
    if (index % 2 === 0) {
      // All controllers are queried right after the cancellation, and the job is submitted again to each.
      const cancellation = sendRequest(cluster, (onResponse) => at(2).cancel(id, onResponse));
      const answer = cancellation().replace('200 ', '');
      assert.ok(['aborted', 'done'].includes(answer), answer);
      for (const node of cluster.controllers) assert.equal(cluster.queryStatus(id, node), answer);
      for (const node of cluster.controllers)
        assert.equal(sendRequest(cluster, (onResponse) => node.submit(spec, onResponse))(), `200 ${answer}`);
    } else cluster.runUntil('done', () => cluster.queryStatus(id, at(0)) === 'done', 20);
    const final = cluster.queryStatus(id, at(1));
    for (const node of cluster.controllers) assert.equal(cluster.queryStatus(id, node), final);
  }
});

test('a controller with a stale replica reports the current status to queries, repeated submissions and cancellations of ended jobs', () => {
  const cluster = smallCluster(4);
  for (const id of ['run-d', 'run-c']) cluster.submit(job(id, { estimatedRunS: id === 'run-d' ? 6 : 500 }));
  const staleController = cluster.controllers.find((node) => node.name !== holderOf(cluster, shardOf(cluster, 'run-d')));
  const currentController = cluster.controllers.find((node) => node !== staleController);
  assert.ok(staleController && currentController);
  cluster.runUntil('running', () => cluster.runningTasks('run-d') === 1 && cluster.runningTasks('run-c') === 1);
  cluster.run(2);
  staleController.isWatchLagging = true;
  cluster.runUntil('done', () => cluster.queryStatus('run-d', currentController) === 'done', 8);
  cluster.cancel('run-c', currentController);
  const answers = ['run-d', 'run-c'].flatMap((id) => [
    sendRequest(cluster, (onResponse) => staleController.queryStatus(id, onResponse)),
    sendRequest(cluster, (onResponse) => staleController.submit(job(id), onResponse)),
    sendRequest(cluster, (onResponse) => staleController.cancel(id, onResponse)),
  ]);
  cluster.run(0.6);
  staleController.isWatchLagging = false;
  assert.deepEqual(
    answers.map((response) => response()),
    ['200 done', '200 done', '200 done', '200 aborted', '200 aborted', '200 aborted'],
  );
});

test('240 one-task jobs are submitted one after another, a quarter of them cancelled: each ends in the state that its user was told', () => {
  const cluster = smallCluster(8);
  const cancelled = new Set<string>();
  for (let index = 0; index < 240; index++) {
    const id = `run-s${index}`;
    const spec = job(id, { estimatedRunS: 2, team: ['red', 'blue', 'green'][index % 3] as string, imageSizeGb: 0 });
    cluster.specs.set(id, spec);
    const submission = sendRequest(cluster, (onResponse) =>
      (cluster.controllers[index % 3] as SimulatedController).submit(spec, onResponse),
    );
    cluster.run(0.2);
    assert.equal(submission().slice(0, 3), '201');
    if (index % 4 === 3)
      (cluster.controllers[(index + 1) % 3] as SimulatedController).cancel(
        id,
        (_s, body) => body.status === 'aborted' && cancelled.add(id),
      );
  }
  cluster.run(40);
  assert.ok(cancelled.size > 20);
  for (let index = 0; index < 240; index++)
    assert.equal(
      cluster.queryStatus(`run-s${index}`, cluster.controllers[(index + 2) % 3] as SimulatedController),
      cancelled.has(`run-s${index}`) ? 'aborted' : 'done',
    );
  // The write queues are empty again, and no machine was released.
  for (const node of cluster.controllers) assert.equal(node.controller.writer.queueLength, 0);
  assert.deepEqual(
    cluster.workers.filter((worker) => worker.dead),
    [],
  );
});

test('jobs that cannot run or lack a field are never accepted: not in an outage, not by a controller cut off from the state service', () => {
  const cluster = smallCluster(4);
  const unrunnableJobs = [job('run-x0', { cpus: 4000 }), job('run-x1', { team: 'nobody' }), job('run-x2', { zone: 'nowhere' })];
  const answers = (node: SimulatedController) => [
    ...unrunnableJobs.map((spec) => sendRequest(cluster, (onResponse) => node.submit(spec, onResponse))()),
    sendRequest(cluster, (onResponse) => node.submit(job('run-x3'), onResponse, 'pieces'))(),
  ];
  const expected = ['422', '422', '422', '400'];
  for (const node of cluster.controllers) assert.deepEqual(answers(node), expected);
  cluster.controller('n1').isRefusedByStateService = true;
  cluster.run(6);
  assert.deepEqual(answers(cluster.controller('n1')), ['503', '503', '503', '400']);
  cluster.controller('n1').isRefusedByStateService = false;
  cluster.isStateServiceDown = true;
  cluster.run(6);
  for (const node of cluster.controllers) assert.deepEqual(answers(node), ['503', '503', '503', '400']);
  cluster.isStateServiceDown = false;
  cluster.run(6);
  for (const node of cluster.controllers) {
    assert.deepEqual(answers(node), expected);
    assert.equal(sendRequest(cluster, (onResponse) => node.cancel('run-x0', onResponse))(), '404');
    assert.equal(cluster.queryStatus('run-x3', node), '404');
  }
  // The response to a cancellation of a finished job says that it is done, also when repeated.
  cluster.submit(job('run-d', { estimatedRunS: 1 }));
  cluster.runUntil('done', () => cluster.queryStatus('run-d') === 'done', 20);
  for (const node of cluster.controllers)
    assert.equal(sendRequest(cluster, (onResponse) => node.cancel('run-d', onResponse))(), '200 done');
});

// The two acceptances store different records: at the second controller the dependency is done, so no edge to it is stored.
test('a submission without a response is repeated at another controller after its dependency is done: the job runs once', () => {
  for (const isLate of [false, true]) {
    const cluster = smallCluster(4);
    const [first, second] = cluster.controllers as [SimulatedController, SimulatedController];
    cluster.submit(job('run-a', { estimatedRunS: 3 }), second);
    cluster.losesTransactionResponse = (e, apply) => {
      if (!e.writes.some((write) => 'put' in write && write.put === 'a/j/run-b')) return false;
      cluster.runAt(cluster.now + (isLate ? 9000 : 0), apply);
      return true;
    };
    cluster.specs.set('run-b', job('run-b', { tasks: 2, estimatedRunS: 3 }));
    cluster.awaits.set('run-b', ['run-a']);
    first.submit(cluster.specs.get('run-b') as JobSpec, () => {});
    cluster.run(0.3);
    cluster.losesTransactionResponse = null;
    cluster.runUntil('the dependency is done', () => cluster.queryStatus('run-a', second) === 'done', 30);
    cluster.submit(cluster.specs.get('run-b') as JobSpec, second, ['run-a']);
    cluster.runUntil('the dependent job is done', () => cluster.allTasksDone('run-b'), 40);
    for (const node of cluster.controllers)
      cluster.runUntil('its status is done', () => cluster.queryStatus('run-b', node) === 'done', 10);
  }
});
