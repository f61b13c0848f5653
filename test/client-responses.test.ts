// Linearizable answers to users while reads, writes and their answers are slow or lost.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '@archpost/protocol';
import { LoadShedder } from '../packages/http-api/src/load-shedder.js';
import { holderOf, job, type SimulatedCluster, type SimulatedController, shardOf, smallCluster } from './simulation/index.js';

test('repeats of submissions and cancellations that come late change nothing', () => {
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

test('a burst of status queries costs one read, and everybody is answered', () => {
  const cluster = smallCluster(4);
  for (let index = 0; index < 10; index++) cluster.submit(job(`run-${index}`, { tasks: 1, estimatedRunS: 600 }));
  cluster.run(5);
  const node = cluster.controllers[1];
  assert.ok(node);
  const said = new Map<string, number>();
  for (let index = 0; index < 1000; index++) {
    const id = index < 990 ? `run-${index % 10}` : `run-none-${index}`;
    node.queryStatus(id, (status) => said.set(`${id} ${status}`, (said.get(`${id} ${status}`) ?? 0) + 1));
  }
  cluster.run(1);
  for (let index = 0; index < 10; index++) assert.equal(said.get(`run-${index} 200`), 99);
  assert.equal([...said.keys()].filter((key) => key.endsWith(' 404')).length, 10);
});

test('load shedding in a burst is fair: no job goes unanswered for long, and no submission pays for it', () => {
  let now = 0;
  const door = new LoadShedder(() => now);
  const last = new Map<string, number>();
  let asked = 0;
  let answered = 0;
  let longest = 0;
  for (now = 0; now < 120_000; now += 10) {
    // Timers are somewhat late all the while, and far too late for a while.
    if (now % 100 === 0) door.recordTimerDelay(now > 40_000 && now < 60_000 ? 900 : 250);
    const id = `run-${(now / 10) % 100}`;
    asked++;
    if (door.admitStatusQuery(id)) {
      answered++;
      door.recordStatusResponse(id);
      longest = Math.max(longest, now - (last.get(id) ?? 0));
      last.set(id, now);
    }
    if (now < 40_000) assert.ok(door.admitMutation());
  }
  assert.ok(answered < asked / 3, `${answered} of ${asked} answered`);
  assert.equal(last.size, 100);
  assert.ok(longest < 35_000, `a job went without an answer for ${longest} ms`);
});

/** What a controller answers to one request, once it does. */
function said(
  cluster: SimulatedCluster,
  ask: (then: (status: number, body: Record<string, unknown>) => void) => void,
): () => string {
  let answer = '';
  ask((status, body) => {
    answer = `${status} ${String(body.status ?? '')}`.trim();
  });
  return () => {
    if (answer === '') cluster.runUntil('answered', () => answer !== '', 6);
    return answer;
  };
}

test('the answer to an acceptance is slow: a job that others have called cancelled by then is not called queued', () => {
  const cluster = smallCluster(4);
  cluster.transactionResponseMs = (n) => (n === 'n0' ? 1200 : 10);
  const slow = said(cluster, (then) => cluster.controller('n0').submit(job('run-a'), then));
  cluster.specs.set('run-a', job('run-a'));
  cluster.run(0.3);
  assert.equal(cluster.queryStatus('run-a', cluster.controller('n1')), 'running');
  cluster.cancel('run-a', cluster.controller('n1'));
  assert.equal(slow(), '200 aborted');
});

test('only the answer is lost: what was accepted, done or cancelled is never called anything older, by any controller', () => {
  const cluster = smallCluster(6);
  // Each transaction is carried out at once, and every other answer is lost.
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
    const first = said(cluster, (then) => at(0).submit(spec, then));
    const again = said(cluster, (then) => at(1).submit(spec, then));
    assert.match(`${first()} ${again()}`, /^(200|201) \w+ (200|201) \w+$/);
    for (const node of cluster.controllers) assert.notEqual(cluster.queryStatus(id, node), '404');
    if (index % 2 === 0) {
      // Everybody asks while it is called off, and right after.
      const told = said(cluster, (then) => at(2).cancel(id, then));
      const answer = told().replace('200 ', '');
      assert.ok(['aborted', 'done'].includes(answer), answer);
      for (const node of cluster.controllers) assert.equal(cluster.queryStatus(id, node), answer);
      for (const node of cluster.controllers) assert.equal(said(cluster, (then) => node.submit(spec, then))(), `200 ${answer}`);
    } else cluster.runUntil('done', () => cluster.queryStatus(id, at(0)) === 'done', 20);
    const final = cluster.queryStatus(id, at(1));
    for (const node of cluster.controllers) assert.equal(cluster.queryStatus(id, node), final);
  }
});

test('a cancellation, a status query and a repeated submission meet the end of the last task, at a controller whose replica is stale', () => {
  const cluster = smallCluster(4);
  for (const id of ['run-d', 'run-c']) cluster.submit(job(id, { estimatedRunS: id === 'run-d' ? 6 : 500 }));
  const behind = cluster.controllers.find((node) => node.name !== holderOf(cluster, shardOf(cluster, 'run-d')));
  const told = cluster.controllers.find((node) => node !== behind);
  assert.ok(behind && told);
  cluster.runUntil('running', () => cluster.runningTasks('run-d') === 1 && cluster.runningTasks('run-c') === 1);
  cluster.run(2);
  behind.isWatchLagging = true;
  cluster.runUntil('done', () => cluster.queryStatus('run-d', told) === 'done', 8);
  cluster.cancel('run-c', told);
  const answers = ['run-d', 'run-c'].flatMap((id) => [
    said(cluster, (then) => behind.queryStatus(id, then)),
    said(cluster, (then) => behind.submit(job(id), then)),
    said(cluster, (then) => behind.cancel(id, then)),
  ]);
  cluster.run(0.6);
  behind.isWatchLagging = false;
  assert.deepEqual(
    answers.map((a) => a()),
    ['200 done', '200 done', '200 done', '200 aborted', '200 aborted', '200 aborted'],
  );
});

test('one-task jobs come four a second for a minute, a quarter of them cancelled: all end as their users were told', () => {
  const cluster = smallCluster(8);
  const cancelled = new Set<string>();
  for (let index = 0; index < 240; index++) {
    const id = `run-s${index}`;
    const spec = job(id, { estimatedRunS: 2, team: ['red', 'blue', 'green'][index % 3] as string, imageSizeGb: 0 });
    cluster.specs.set(id, spec);
    const told = said(cluster, (then) => (cluster.controllers[index % 3] as SimulatedController).submit(spec, then));
    cluster.run(0.2);
    assert.equal(told().slice(0, 3), '201');
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
  // Queues are empty again: no write waits for ever, and no machine is out of use.
  for (const node of cluster.controllers) assert.equal(node.controller.writer.queueLength, 0);
  assert.deepEqual(
    cluster.workers.filter((worker) => worker.dead),
    [],
  );
});

test('jobs that can not run or lack a field are never accepted: not in an outage, not refused alone, not repeated', () => {
  const cluster = smallCluster(4);
  const never = [job('run-x0', { cpus: 4000 }), job('run-x1', { team: 'nobody' }), job('run-x2', { zone: 'nowhere' })];
  const answers = (node: SimulatedController) => [
    ...never.map((spec) => said(cluster, (then) => node.submit(spec, then))()),
    said(cluster, (then) => node.submit(job('run-x3'), then, 'pieces'))(),
  ];
  const wrong = ['422', '422', '422', '400'];
  for (const node of cluster.controllers) assert.deepEqual(answers(node), wrong);
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
    assert.deepEqual(answers(node), wrong);
    assert.equal(said(cluster, (then) => node.cancel('run-x0', then))(), '404');
    assert.equal(cluster.queryStatus('run-x3', node), '404');
  }
  // A cancellation of a job that is done answers so, and its repeats too.
  cluster.submit(job('run-d', { estimatedRunS: 1 }));
  cluster.runUntil('done', () => cluster.queryStatus('run-d') === 'done', 20);
  for (const node of cluster.controllers) assert.equal(said(cluster, (then) => node.cancel('run-d', then))(), '200 done');
});

// The two differ in what they store: at the second controller the job awaited is done, and needs no edge any more.
test('an acceptance without an answer is repeated elsewhere, where what it awaits is done meanwhile', () => {
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
    cluster.runUntil('the first is done', () => cluster.queryStatus('run-a', second) === 'done', 30);
    cluster.submit(cluster.specs.get('run-b') as JobSpec, second, ['run-a']);
    cluster.runUntil('the second is done', () => cluster.allTasksDone('run-b'), 40);
    for (const node of cluster.controllers) cluster.runUntil('told', () => cluster.queryStatus('run-b', node) === 'done', 10);
  }
});
