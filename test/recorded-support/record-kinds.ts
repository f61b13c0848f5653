/** The kinds of stored changes and of messages between controllers. The recordings must contain each of them. */

import assert from 'node:assert/strict';
import type { KeyWrite, PeerMessage } from '@archpost/protocol';

/** Names of the stored states of a job, indexed by the stored number. */
export const JOB_STATES = ['accepted', 'done', 'cancelled', 'accepted, awaits others'];

function kindOfJob(stored: { s: number; x?: unknown }): string {
  return `a/j/ ${JOB_STATES[stored.s]}${stored.x === undefined ? '' : ', lists in parts'}`;
}

function kindOfAssignment(stored: { mv?: number; x?: boolean; n?: number }): string {
  const marks = [
    stored.mv === undefined ? [] : ['to be moved'],
    stored.x === undefined ? [] : ['to be given back'],
    stored.n === undefined ? [] : ['written again'],
  ].flat();
  return ['a/g/ granted', ...marks].join(', ');
}

/** The kind of a stored change, by its key and value. */
export function kindOfChange(write: KeyWrite): string {
  const key = 'put' in write ? write.put : write.del;
  const prefix = key.startsWith('a/types') ? 'a/types' : key.slice(0, 4);
  if (!('put' in write)) return `${prefix} removed`;
  if (prefix === 'a/j/') return kindOfJob(write.value as Parameters<typeof kindOfJob>[0]);
  if (prefix === 'a/g/') return kindOfAssignment(write.value as Parameters<typeof kindOfAssignment>[0]);
  if (prefix === 'a/p/') return /\.\d+$/.test(key) ? 'a/p/ part of a chunk' : 'a/p/ whole chunk';
  if (prefix === 'a/types') return key === prefix ? 'a/types whole list' : 'a/types part of the list';
  if (prefix === 'a/x/') return 'ty' in (write.value as object) ? 'a/x/ machine types' : 'a/x/ awaited jobs';
  return prefix;
}

/** The kinds of changes that the recorded days must contain. */
export const CHANGE_KINDS = [
  'a/h/',
  'a/h/ removed',
  'a/n/',
  'a/s/',
  'a/c/',
  'a/c/ removed',
  'a/g/ granted',
  'a/g/ granted, to be moved',
  'a/g/ granted, to be given back',
  'a/g/ granted, written again',
  'a/g/ removed',
  'a/j/ accepted',
  'a/j/ accepted, lists in parts',
  'a/j/ accepted, awaits others',
  'a/j/ accepted, awaits others, lists in parts',
  'a/j/ done',
  'a/j/ cancelled',
  'a/p/ whole chunk',
  'a/p/ part of a chunk',
  'a/types whole list',
  'a/types part of the list',
  'a/x/ machine types',
  'a/x/ awaited jobs',
];

/** The kind of a message, by what it contains. It selects the recorded examples; the digest covers all messages whole. */
export function kindOfMessage({ status, heartbeat }: PeerMessage): string {
  if (heartbeat) {
    const states = new Set(heartbeat.tasks.map((task) => task.state));
    const notice = heartbeat.preemptionNoticeS === null ? '' : ', with a notice';
    return `report, tasks ${[...states].sort().join(' and ') || 'none'}${notice}`;
  }
  assert.ok(status);
  const lists = {
    machines: status.shards.some((shard) => shard.machines.length > 0),
    demands: status.shards.some((shard) => shard.demands.length > 0),
    running: status.runningJobs.length > 0,
    ungranted: status.unassignedMachines.length > 0,
    heard: status.unchangedHeartbeats.length > 0,
    plenty: status.availableTypes.length > 0,
  };
  const listed = Object.entries(lists).flatMap(([name, isListed]) => (isListed ? [name] : []));
  return `status${status.isLeader ? ' of the leader' : ''}, tells ${listed.join(' and ') || 'nothing'}`;
}

/** The kinds of messages that the recorded days must contain. */
export const MESSAGE_KINDS = [
  /^report, tasks none$/,
  /^report, tasks .*exited/,
  /^report, tasks .*running/,
  /with a notice/,
  /^status, tells nothing$/,
  /of the leader/,
  /machines/,
  /demands/,
  /running/,
  /ungranted/,
  /heard/,
  /plenty/,
];
