// Messages between controllers: frames, and lists that are sent in parts.

import assert from 'node:assert/strict';
import net from 'node:net';
import { test } from 'node:test';
import { encodedBytes, encodeStatus, fitStoredStatus, RunningTaskDeltas } from '@archpost/controller';
import { encodeFrame, FrameReader, MAX_FRAME_BYTES, PeerTransport } from '@archpost/peer-transport';
import { encodePeerMessage, MAX_COMMANDS_PER_BODY } from '@archpost/protocol';
import { job, SimulatedCluster, STATUS } from './simulation/index.js';

test('frames are read whole whatever the size of the chunks, and a frame beyond the limit is refused', () => {
  const bodies = [Buffer.from('a'), Buffer.alloc(0), Buffer.alloc(70_000, 7), Buffer.from('end')];
  const bytes = Buffer.concat(bodies.map(encodeFrame));
  for (const size of [1, 3, 4, 5, 1460, 65_536, bytes.length]) {
    const reader = new FrameReader();
    const read: Buffer[] = [];
    for (let at = 0; at < bytes.length; at += size) read.push(...reader.push(bytes.subarray(at, at + size)));
    assert.deepEqual(read, bodies, `in chunks of ${size}`);
  }
  const header = Buffer.alloc(4);
  header.writeUInt32BE(MAX_FRAME_BYTES + 1);
  assert.throws(() => new FrameReader().push(header), { bytes: MAX_FRAME_BYTES + 1 });
});

test('a frame beyond the limit closes only its own connection, and its size and sender are reported', async () => {
  const probe = net.createServer();
  const port = await new Promise<number>((resolve) =>
    probe.listen(0, '127.0.0.1', () => resolve((probe.address() as net.AddressInfo).port)),
  );
  await new Promise((resolve) => probe.close(resolve));
  const peers = new PeerTransport([
    { name: 'n1', address: '127.0.0.1:1' },
    { name: 'n2', address: '127.0.0.1:1' },
  ]);
  const senders: string[] = [];
  const problems: string[] = [];
  peers.message$.subscribe(({ node: controller }) => senders.push(controller));
  peers.unreadable$.subscribe(({ peer, error }) => problems.push(`${peer}: ${error}`));
  await peers.listen('127.0.0.1', port);
  const connect = (controller: string) => {
    const socket = net.connect(port, '127.0.0.1');
    const send = () =>
      socket.write(
        encodeFrame(encodePeerMessage({ node: controller, status: { ...STATUS, node: controller }, heartbeat: null })),
      );
    send();
    return { socket, send };
  };
  const waitUntil = async (description: string, condition: () => boolean) => {
    for (let index = 0; index < 500 && !condition(); index++) await new Promise((resolve) => setTimeout(resolve, 10));
    assert.ok(condition(), description);
  };
  const first = connect('n1');
  const second = connect('n2');
  await waitUntil('messages of both have arrived', () => senders.length === 2);
  const header = Buffer.alloc(4);
  header.writeUInt32BE(MAX_FRAME_BYTES + 1);
  first.socket.write(header);
  await waitUntil('its connection is closed', () => first.socket.closed);
  second.send();
  await waitUntil('the other connection still works', () => senders.length === 3);
  assert.deepEqual(problems, [`n1: a frame of ${MAX_FRAME_BYTES + 1} bytes`]);
  second.socket.destroy();
  peers.close();
});

test('running tasks are sent in parts that fit a frame, and a peer has all of them in the end', () => {
  const deltas = new RunningTaskDeltas(1000);
  const running = new Map(Array.from({ length: 2500 }, (_, index) => [`run-${index}`, { count: 1, done: 0, failed: 0 }]));
  let known = new Map<string, number>();
  for (let status = 0; status < 4; status++) {
    if (status === 1) running.delete('run-7');
    const { runningJobs: changed, runningJobsComplete: isComplete } = deltas.next(new Map(running));
    assert.ok(changed.length <= 1000);
    if (isComplete) known = new Map();
    for (const { job: id, count } of changed) count > 0 ? known.set(id, count) : known.delete(id);
  }
  assert.deepEqual(new Set(known.keys()), new Set(running.keys()));
});

const unassignedMachines = (count: number) =>
  Array.from({ length: count }, (_, index) => ({ machine: `m${index}`, address: 'x', type: 'small', zone: 'east', spot: false }));

test('stored statuses list all unassigned machines in turn, although the first ones are never assigned', () => {
  const listed = new Set<string>();
  const status = { ...STATUS, unassignedMachines: unassignedMachines(500) };
  const limit = 8 * 1024;
  for (let turn = 0; turn < 25; turn++) {
    const stored = fitStoredStatus('a/s/n0', status, limit, turn);
    assert.ok(encodedBytes('a/s/n0', encodeStatus(stored)) <= limit);
    for (const { machine } of stored.unassignedMachines) listed.add(machine);
  }
  assert.equal(listed.size, 500);
});

test('a machine with more tasks to stop than one command message holds gets all stop commands', () => {
  const cluster = new SimulatedCluster(['n0'], (settings) => ({
    ...settings,
    teams: [{ name: 'red', cpus: 0, maxCpus: 0, gpus: 0, maxGpus: 0 }],
  }));
  cluster.addMachine('big', 'big');
  cluster.runUntilSettled();
  const tasks = 2 * MAX_COMMANDS_PER_BODY;
  cluster.submit(job('run-many', { tasks, cpus: 0.01, memory: 0.01, estimatedRunS: 10_000 }));
  cluster.runUntil('all tasks run', () => cluster.runningTasks('run-many') === tasks, 60);
  let maxCommands = 0;
  cluster.onCommands = (commands) => {
    maxCommands = Math.max(maxCommands, commands.length);
  };
  cluster.cancel('run-many');
  cluster.runUntil('no task is left', () => cluster.runningTasks('run-many') === 0, 10);
  assert.ok(maxCommands > 0 && maxCommands <= MAX_COMMANDS_PER_BODY, `${maxCommands} commands in a message`);
});
