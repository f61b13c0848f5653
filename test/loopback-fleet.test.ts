// A real controller process on loopback.

import assert from 'node:assert/strict';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { threadHeapMb } from '../packages/server/src/heap-plan.js';
import { singleController } from './loopback/single-controller.js';
import { FLEET_MACHINES, waitForCount } from './scenarios/loopback-fixtures.js';

const MEMORY_MB = 300;

const SOCKETS = 2400;

/**
 * Interval of heartbeats. With one each 2 s the 4,000 workers, which are one process, need a whole core: beside a few busy
 * processes they answered no probe in time and were released, so that the test measured the load of the machine, not the
 * controller.
 */
const REPORT_S = 6;

test('4,000 workers, fewer sockets than workers: a real controller keeps to its heap, its memory and its sockets', async () => {
  const { state, cloud, fleet, controller, close } = await singleController({
    machines: FLEET_MACHINES,
    memoryMb: MEMORY_MB,
    sockets: SOCKETS,
    reportS: REPORT_S,
  });
  const operator = join(mkdtempSync(join(tmpdir(), 'archpost-operator-')), 'operator.json');
  writeFileSync(operator, JSON.stringify({ max_machines: FLEET_MACHINES }));
  const assignedCount = () => [...state.state.keys.keys()].filter((key) => key.startsWith('a/g/')).length;
  let maxMb = 0;
  let maxSockets = 0;
  const measure = () => {
    assert.equal(controller.ended, null, JSON.stringify(controller.log.slice(-3)));
    maxMb = Math.max(maxMb, controller.residentMb());
    maxSockets = Math.max(maxSockets, controller.openSockets());
  };
  try {
    controller.start(['--operator', operator]);
    await waitForCount('the controller is up', 1, async () => Number(await controller.isUp()));
    fleet.start();
    await waitForCount('all machines are assigned', FLEET_MACHINES, () => {
      measure();
      return assignedCount();
    });
    const acceptedBefore = fleet.workers.map((worker) => worker.acceptedHeartbeats);
    await waitForCount('all workers got three more responses', FLEET_MACHINES, () => {
      measure();
      return fleet.workers.filter((worker, index) => worker.acceptedHeartbeats >= (acceptedBefore[index] as number) + 3).length;
    });
    assert.equal(cloud.releasedMachines.size, 0, 'no machine is released');
    const heap = controller.log.find(({ msg: message }) => message === 'heap');
    assert.deepEqual([heap?.kind, heap?.heapMb], ['thread', threadHeapMb({ memoryMb: MEMORY_MB, sockets: SOCKETS })]);
    assert.ok(maxMb > 0 && maxMb <= MEMORY_MB, `${maxMb} MB of ${MEMORY_MB}`);
    assert.ok(maxSockets <= SOCKETS, `${maxSockets} sockets of ${SOCKETS}`);
    const shortages = controller.log.filter(({ msg: message }) => message === 'settings insufficient for max_machines');
    assert.deepEqual(
      shortages.map(({ what }) => what),
      ['machine_limits.max_sockets'],
      'logged once',
    );
  } finally {
    close();
  }
});
