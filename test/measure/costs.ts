// Measures the costs of fleets of several sizes as distributions: `node tools/measure.mjs costs [RUNS]`. Prints tables for
// docs/results.md. Durations are in simulated time; processor time is that of the local machine.
import { DDSketch } from '@datadog/sketches-js';
import { decodePeerMessage, encodePeerMessage } from '../../packages/protocol/src/index.js';
import { LargeFleet } from '../simulation/large-fleet.js';
import { meteredCore } from './metered-core.js';

const SIZES = [300, 600, 1200, 2400, 4000];
const CONTROLLER_COUNTS = [3];
const LARGE_CONTROLLER_COUNTS = [7, 15];
const LARGEST_SIZE = 4000;
const STEADY_S = 10;
const RELATIVE_ACCURACY = 0.01;

/** The distribution of one measured quantity, for one fleet size and number of controllers. */
class Distribution {
  private readonly sketch = new DDSketch({ relativeAccuracy: RELATIVE_ACCURACY });

  add(value: number): void {
    this.sketch.accept(value);
  }

  /** Formats minimum, median and 99th percentile. */
  format(): string {
    const at = (quantile: number) => this.sketch.getValueAtQuantile(quantile);
    return [at(0), at(0.5), at(0.99)].map((value) => (value >= 100 ? value.toFixed(0) : value.toPrecision(3))).join(' / ');
  }
}

/** The distributions of one fleet size and number of controllers by quantity name, in insertion order. */
class Row {
  readonly quantities = new Map<string, Distribution>();

  add(name: string, value: number): void {
    const distribution = this.quantities.get(name) ?? new Distribution();
    this.quantities.set(name, distribution);
    distribution.add(value);
  }
}

/** Sums the processor time of the controllers' inputs. */
class ProcessorMeter {
  private ms = 0;
  private readonly row: Row;

  constructor(row: Row) {
    this.row = row;
  }

  readonly meter = (_node: string, input: string, ms: number): void => {
    this.ms += ms;
    if (input === 'receiveSnapshot') this.row.add('snapshot processed, processor ms', ms);
    if (input === 'tick') this.row.add('one tick, processor ms', ms);
  };

  /** Returns the sum since the last call, in milliseconds, and resets it. */
  takeMs(): number {
    const { ms } = this;
    this.ms = 0;
    return ms;
  }
}

function measure(row: Row, machines: number, controllers: number, run: number): void {
  const processor = new ProcessorMeter(row);
  const version = { Controller: meteredCore(processor.meter), encodePeerMessage, decodePeerMessage };
  const fleet = new LargeFleet({ machines, controllers, version });
  const { cluster } = fleet;
  const phase = (name: string, seconds: number) => {
    row.add(`${name}, processor ms per second at each controller`, processor.takeMs() / controllers / Math.max(0.1, seconds));
    cluster.trace = [];
  };
  const timed = (name: string, step: () => number) => {
    const from = cluster.now;
    row.add(`${name}, s`, step());
    phase(name, (cluster.now - from) / 1000);
  };
  timed('first start until all machines are verified', () => fleet.firstStart());
  timed('services submitted until all replicas run', () => fleet.startServices());
  cluster.statuses = 0;
  cluster.statusBytes = 0;
  cluster.run(STEADY_S);
  phase('steady', STEADY_S);
  row.add('status size, bytes', cluster.statusBytes / cluster.statuses);
  timed('crash of one until all machines are verified', () => fleet.crashOne(run % controllers));
  timed('restart of all until all machines are verified', () => fleet.crashAll());
  timed('rolling restart', () => fleet.rollingRestart());
  timed('cancellation of arrays until the last task is gone', () => fleet.cancelDuringLeaderCrash(Math.floor(machines / 13)));
  timed('loss of a third until none of it is assigned', () => fleet.killThird());
}

const runs = Number(process.argv[2] ?? 3);
const columns = [
  ...SIZES.flatMap((machines) => CONTROLLER_COUNTS.map((controllers) => ({ machines, controllers }))),
  ...LARGE_CONTROLLER_COUNTS.map((controllers) => ({ machines: LARGEST_SIZE, controllers })),
].map((column) => ({ ...column, row: new Row() }));
for (const { machines, controllers, row } of columns)
  for (let run = 0; run < runs; run++) measure(row, machines, controllers, run);
console.log(
  `| min / median / p99 of ${runs} runs | ${columns.map((c) => `${c.machines} machines, ${c.controllers}`).join(' | ')} |`,
);
console.log(`| --- |${columns.map(() => ' --- |').join('')}`);
for (const name of columns[0]?.row.quantities.keys() ?? [])
  console.log(`| ${name} | ${columns.map(({ row }) => row.quantities.get(name)?.format() ?? '').join(' | ')} |`);
