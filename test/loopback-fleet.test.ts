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
 * At a report each 2 s the 4,000 workers, which are one process, need a whole core for themselves. Beside a few busy
 * processes they answered no question in time, were given back, and the verdict was the machine's, not the controller's.
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
  const granted = () => [...state.state.keys.keys()].filter((key) => key.startsWith('a/g/')).length;
  let mostMb = 0;
  let mostSockets = 0;
  const look = () => {
    assert.equal(controller.ended, null, JSON.stringify(controller.log.slice(-3)));
    mostMb = Math.max(mostMb, controller.residentMb());
    mostSockets = Math.max(mostSockets, controller.openSockets());
  };
  try {
    controller.start(['--operator', operator]);
    await waitForCount('it is up', 1, async () => Number(await controller.isUp()));
    fleet.start();
    await waitForCount('all are granted', FLEET_MACHINES, () => {
      look();
      return granted();
    });
    const before = fleet.workers.map((worker) => worker.acceptedHeartbeats);
    await waitForCount('all are answered, again and again', FLEET_MACHINES, () => {
      look();
      return fleet.workers.filter((worker, index) => worker.acceptedHeartbeats >= (before[index] as number) + 3).length;
    });
    assert.equal(cloud.releasedMachines.size, 0, 'machines that were given back');
    const heap = controller.log.find(({ msg: message }) => message === 'heap');
    assert.deepEqual([heap?.kind, heap?.heapMb], ['thread', threadHeapMb({ memoryMb: MEMORY_MB, sockets: SOCKETS })]);
    assert.ok(mostMb > 0 && mostMb <= MEMORY_MB, `${mostMb} MB of ${MEMORY_MB}`);
    assert.ok(mostSockets <= SOCKETS, `${mostSockets} sockets of ${SOCKETS}`);
    const short = controller.log.filter(({ msg: message }) => message === 'settings insufficient for max_machines');
    assert.deepEqual(
      short.map(({ what }) => what),
      ['machine_limits.max_sockets'],
      'told once',
    );
  } finally {
    close();
  }
});
