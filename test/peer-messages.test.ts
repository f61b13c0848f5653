// Messages between controllers: frames, and lists that are told in parts.

import assert from 'node:assert/strict';
import net from 'node:net';
import { test } from 'node:test';
import { encodedBytes, encodeStatus, fitStoredStatus, RunningTaskDeltas } from '@archpost/controller';
import { encodeFrame, FrameReader, MAX_FRAME_BYTES, PeerTransport } from '@archpost/peer-transport';
import { encodePeerMessage, MAX_COMMANDS_PER_BODY } from '@archpost/protocol';
import { job, SimulatedCluster, STATUS } from './simulation/index.js';

test('frames: whole whatever the chunks; put together once; one beyond the limit is refused', () => {
  const bodies = [Buffer.from('a'), Buffer.alloc(0), Buffer.alloc(70_000, 7), Buffer.from('end')];
  const bytes = Buffer.concat(bodies.map(encodeFrame));
  for (const size of [1, 3, 4, 5, 1460, 65_536, bytes.length]) {
    const reader = new FrameReader();
    const read: Buffer[] = [];
    for (let at = 0; at < bytes.length; at += size) read.push(...reader.push(bytes.subarray(at, at + size)));
    assert.deepEqual(read, bodies, `in chunks of ${size}`);
  }
  const head = Buffer.alloc(4);
  head.writeUInt32BE(MAX_FRAME_BYTES + 1);
  assert.throws(() => new FrameReader().push(head), { bytes: MAX_FRAME_BYTES + 1 });
});

test('a frame beyond the limit closes its link alone, and size and sender are told; nobody sends one', async () => {
  const probe = net.createServer();
  const port = await new Promise<number>((resolve) =>
    probe.listen(0, '127.0.0.1', () => resolve((probe.address() as net.AddressInfo).port)),
  );
  await new Promise((resolve) => probe.close(resolve));
  const peers = new PeerTransport([
    { name: 'n1', address: '127.0.0.1:1' },
    { name: 'n2', address: '127.0.0.1:1' },
  ]);
  const heard: string[] = [];
  const problems: string[] = [];
  peers.message$.subscribe(({ node: controller }) => heard.push(controller));
  peers.unreadable$.subscribe(({ peer, error }) => problems.push(`${peer}: ${error}`));
  await peers.listen('127.0.0.1', port);
  const link = (controller: string) => {
    const socket = net.connect(port, '127.0.0.1');
    const say = () =>
      socket.write(
        encodeFrame(encodePeerMessage({ node: controller, status: { ...STATUS, node: controller }, heartbeat: null })),
      );
    say();
    return { socket, say };
  };
  const until = async (what: string, holds: () => boolean) => {
    for (let index = 0; index < 500 && !holds(); index++) await new Promise((resolve) => setTimeout(resolve, 10));
    assert.ok(holds(), what);
  };
  const first = link('n1');
  const second = link('n2');
  await until('both are heard', () => heard.length === 2);
  const head = Buffer.alloc(4);
  head.writeUInt32BE(MAX_FRAME_BYTES + 1);
  first.socket.write(head);
  await until('its link is closed', () => first.socket.closed);
  second.say();
  await until('the other goes on', () => heard.length === 3);
  assert.deepEqual(problems, [`n1: a frame of ${MAX_FRAME_BYTES + 1} bytes`]);
  second.socket.destroy();
  peers.close();
});

test('running tasks are told in parts that fit a frame, and each peer knows all of them in the end', () => {
  const news = new RunningTaskDeltas(1000);
  const running = new Map(Array.from({ length: 2500 }, (_, index) => [`run-${index}`, { count: 1, done: 0, failed: 0 }]));
  let known = new Map<string, number>();
  for (let status = 0; status < 4; status++) {
    if (status === 1) running.delete('run-7');
    const { runningJobs: told, runningJobsComplete: runningAll } = news.next(new Map(running));
    assert.ok(told.length <= 1000);
    if (runningAll) known = new Map();
    for (const { job: id, count } of told) count > 0 ? known.set(id, count) : known.delete(id);
  }
  assert.deepEqual(new Set(known.keys()), new Set(running.keys()));
});

const ungranted = (count: number) =>
  Array.from({ length: count }, (_, index) => ({ machine: `m${index}`, address: 'x', type: 'small', zone: 'east', spot: false }));

test('a stored status tells all unassigned machines in turn, though the first ones are never assigned', () => {
  const told = new Set<string>();
  const status = { ...STATUS, unassignedMachines: ungranted(500) };
  const limit = 8 * 1024;
  for (let turn = 0; turn < 25; turn++) {
    const stored = fitStoredStatus('a/s/n0', status, limit, turn);
    assert.ok(encodedBytes('a/s/n0', encodeStatus(stored)) <= limit);
    for (const { machine } of stored.unassignedMachines) told.add(machine);
  }
  assert.equal(told.size, 500);
});

test('a machine with more tasks to stop than a command holds gets all of the stops', () => {
  const cluster = new SimulatedCluster(['n0'], (settings) => ({
    ...settings,
    teams: [{ name: 'red', cpus: 0, maxCpus: 0, gpus: 0, maxGpus: 0 }],
  }));
  cluster.addMachine('big', 'big');
  cluster.runUntilSettled();
  const tasks = 2 * MAX_COMMANDS_PER_BODY;
  cluster.submit(job('run-many', { tasks, cpus: 0.01, memory: 0.01, estimatedRunS: 10_000 }));
  cluster.runUntil('all run', () => cluster.runningTasks('run-many') === tasks, 60);
  let limit = 0;
  cluster.onCommands = (commands) => {
    limit = Math.max(limit, commands.length);
  };
  cluster.cancel('run-many');
  cluster.runUntil('none is left', () => cluster.runningTasks('run-many') === 0, 10);
  assert.ok(limit > 0 && limit <= MAX_COMMANDS_PER_BODY, `${limit} commands in a message`);
});
