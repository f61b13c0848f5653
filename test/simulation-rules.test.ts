// The rule checker of the simulation.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { job, type SimulatedCluster, type SimulatedWorker, smallCluster } from './simulation/index.js';

/** Each entry breaks a rule on purpose, and the rule checker must fail with the message. */
const VIOLATIONS: { rule: RegExp; violate: (cluster: SimulatedCluster, worker: SimulatedWorker) => void }[] = [
  {
    rule: /too_early: run-b\/0 starts before run-a is done/,
    violate: (_cluster, worker) => worker.executeCommands([{ type: 'start', job: 'run-b', index: 0, attempt: 1 }]),
  },
  {
    rule: /ran_cancelled: run-b on m0/,
    violate: (cluster, worker) => {
      cluster.finished.add('run-a/0');
      worker.executeCommands([{ type: 'start', job: 'run-b', index: 0, attempt: 1 }]);
      cluster.finished.clear();
      cluster.rules.recordReportedStatus('run-a', 'aborted');
      worker.hung = true;
      cluster.run(37);
    },
  },
  {
    rule: /ran_cancelled: run-a starts/,
    violate: (cluster, worker) => {
      cluster.rules.recordReportedStatus('run-a', 'aborted');
      cluster.run(37);
      worker.executeCommands([{ type: 'start', job: 'run-a', index: 0, attempt: 1 }]);
    },
  },
  {
    rule: /orphaned: run-b is reported queued/,
    violate: (cluster) => {
      cluster.rules.recordReportedStatus('run-a', 'aborted');
      cluster.run(37);
      cluster.rules.recordReportedStatus('run-b', 'queued');
    },
  },
  {
    rule: /orphaned: run-a\/0 still runs, but its job was reported done/,
    violate: (cluster, worker) => {
      worker.executeCommands([{ type: 'start', job: 'run-a', index: 0, attempt: 1 }]);
      cluster.rules.recordReportedStatus('run-a', 'done');
      worker.hung = true;
      cluster.run(37);
    },
  },
];

test('the rule checker of the simulation detects each violation', () => {
  for (const { rule, violate } of VIOLATIONS) {
    const cluster = smallCluster(1);
    for (const node of cluster.controllers) node.crash();
    cluster.specs.set('run-a', job('run-a'));
    cluster.specs.set('run-b', job('run-b'));
    cluster.awaits.set('run-b', ['run-a']);
    assert.throws(() => violate(cluster, cluster.worker('m0') as SimulatedWorker), rule);
  }
});
