/** Runs a simulated day and records what is stored and sent. */

import assert from 'node:assert/strict';
import { decodePeerMessage } from '@archpost/protocol';
import { SimulatedCluster } from '../simulation/index.js';
import { loadRows, newController, type Row, summarizeClusterState, warnedKeys } from './controller-reader.js';
import { kindOfChange, kindOfMessage } from './record-kinds.js';
import { Recording } from './recording.js';
import { CONTROLLER_NAMES, type Day } from './simulated-days.js';

/** What was stored and sent on a day, the rows at its end, and the state of a controller that loads these rows. */
export interface RecordedDay {
  changes: { count: number; sha256: string; examples: Record<string, string[]> };
  messages: { count: number; sha256: string; examples: Record<string, string[]> };
  rows: Row[];
  known: Record<string, unknown>;
}

/** Runs a day on a new cluster, and checks that its rows are read without a warning. */
export function recordDay({ tune, run }: Day): RecordedDay {
  const cluster = new SimulatedCluster(CONTROLLER_NAMES, tune);
  const changes = new Recording();
  const messages = new Recording();
  const { stateService: state } = cluster;
  const compareAndSwap = state.compareAndSwap.bind(state);
  state.compareAndSwap = (transaction, now) => {
    for (const write of transaction.writes) changes.add(kindOfChange(write), JSON.stringify(write));
    return compareAndSwap(transaction, now);
  };
  cluster.onPeerMessage = (bytes) => messages.add(kindOfMessage(decodePeerMessage(bytes)), Buffer.from(bytes).toString('hex'));
  run(cluster);
  const rows = state
    .rows()
    .map(({ key, value, revision }): Row => ({ key, value, stamp: revision }))
    .sort((a, b) => (a.key < b.key ? -1 : 1));
  const reader = newController(tune);
  loadRows(reader, rows);
  assert.deepEqual(warnedKeys(reader), []);
  return {
    changes: { count: changes.count, sha256: changes.sha256(), examples: changes.examples },
    messages: { count: messages.count, sha256: messages.sha256(), examples: messages.examples },
    rows,
    known: summarizeClusterState(reader),
  };
}
