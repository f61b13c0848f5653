// 4,000 machines, as large as the users run the service. Counts and rules are asserted, never times of this machine.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LargeFleet } from './simulation/large-fleet.js';

const MACHINES = 4000;

/** By hand, for all that is asked of the size: FLEETS=3,7,15 npm test. */
const FLEETS = (process.env.FLEETS ?? '3').split(',').map(Number);

for (const controllers of FLEETS)
  test(`${MACHINES} machines, ${controllers} controllers: start, crashes, a roll, a cancelled burst, a third lost`, () => {
    const fleet = new LargeFleet({ machines: MACHINES, controllers });
    const { cluster } = fleet;
    fleet.firstStart();
    const granted = cluster.changes.get('g') ?? 0;
    assert.ok(granted < 1.1 * MACHINES, `${granted} changes to grant ${MACHINES} machines`);
    fleet.startServices();
    cluster.trace = [];
    cluster.changes.clear();
    fleet.crashOne(0);
    fleet.crashAll();
    fleet.untilServicesRun('services run on', 1);
    assert.ok((cluster.changes.get('g') ?? 0) < 20, `${cluster.changes.get('g')} grants written anew for nothing`);
    fleet.roll();
    fleet.untilServicesRun('services run on after a roll', 1);
    fleet.check();
    cluster.trace = [];
    fleet.cancelWhileTheLeaderEnds(300);
    cluster.trace = [];
    fleet.loseThird();
    fleet.untilServicesRun('all replicas have another place', 120);
    fleet.check();
  });
