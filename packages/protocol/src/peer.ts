import protobuf from 'protobufjs/light.js';
import type { Report } from './workers.js';

/** What one share's owner tells of a machine. */
export interface PeerMachine {
  name: string;
  freeCpus: number;
  freeGpus: number;
  freeMemory: number;
  /** tasks on it, or meant for it */
  tasks: number;
  /** highest rank of work that may not be stopped for others; -1: none */
  firmRank: number;
  /** seconds since its last task ended */
  idleS: number;
  /** services on it, which a move would have to stop */
  services: number;
}

/** Work of a share that has no room. */
export interface PeerDemand {
  cpus: number;
  gpus: number;
  memory: number;
  types: string[];
  zone: string;
  spot: boolean;
  rank: number;
  /** within the team's guarantee */
  within: boolean;
  count: number;
  gang: boolean;
  waitS: number;
  /** seconds until it should start, by its objectives */
  slackS: number;
  /** zones that its other tasks bar */
  notZones: string[];
}

export interface PeerShare {
  share: number;
  machines: PeerMachine[];
  demands: PeerDemand[];
}

/**
 * A machine whose reports are as they were: the last one passed on whole had the number
 * `whole`, and up to `seq` nothing has changed.
 */
export interface PeerHeard {
  machine: string;
  session: number;
  seq: number;
  whole: number;
}

export interface PeerStatus {
  node: string;
  shares: PeerShare[];
  /** running tasks of jobs, for display: of all that have any, or of those that changed */
  running: { job: string; count: number; done: number; failed: number }[];
  runningAll: boolean;
  /** machines without a grant whose workers reported here */
  strangers: { machine: string; addr: string; type: string; zone: string; spot: boolean }[];
  /** machines of the one it is told to that reported here within the last seconds */
  heard: PeerHeard[];
  /** told by the lead: machine types that the cloud still has, ordinary ones */
  plenty: string[];
  lead: boolean;
  /** may answer workers: its state lease stands */
  entitled: boolean;
  /** workers can be reached from there */
  reach: boolean;
  /** changes a second that it could do with */
  writes: number;
  /** the state service answers it */
  storeOk: boolean;
  /** workers that it answered lately */
  hears: number;
  /** holds all that the state service held at some moment since it began */
  loaded: boolean;
  /** stamp of the newest cancellation that it knows of: it has told users of no newer one */
  cancelStamp: number;
  /** names this status; the one that it is sent to sends it back */
  ping: string;
  /** the last ping that came from the one it is sent to, before all else here was worked out */
  echo: string;
}

const root = protobuf.Root.fromJSON({
  nested: {
    Machine: {
      fields: {
        name: { type: 'string', id: 1 },
        freeCpus: { type: 'double', id: 2 },
        freeGpus: { type: 'double', id: 3 },
        freeMemory: { type: 'double', id: 4 },
        tasks: { type: 'uint32', id: 5 },
        firmRank: { type: 'sint32', id: 6 },
        idleS: { type: 'double', id: 7 },
        services: { type: 'uint32', id: 8 },
      },
    },
    Demand: {
      fields: {
        cpus: { type: 'double', id: 1 },
        gpus: { type: 'double', id: 2 },
        memory: { type: 'double', id: 3 },
        types: { rule: 'repeated', type: 'string', id: 4 },
        zone: { type: 'string', id: 5 },
        spot: { type: 'bool', id: 6 },
        rank: { type: 'sint32', id: 7 },
        within: { type: 'bool', id: 8 },
        count: { type: 'uint32', id: 9 },
        gang: { type: 'bool', id: 10 },
        waitS: { type: 'double', id: 11 },
        slackS: { type: 'double', id: 12 },
        notZones: { rule: 'repeated', type: 'string', id: 13 },
      },
    },
    Share: {
      fields: {
        share: { type: 'uint32', id: 1 },
        machines: { rule: 'repeated', type: 'Machine', id: 2 },
        demands: { rule: 'repeated', type: 'Demand', id: 3 },
      },
    },
    Running: {
      fields: {
        job: { type: 'string', id: 1 },
        count: { type: 'uint32', id: 2 },
        done: { type: 'uint32', id: 3 },
        failed: { type: 'uint32', id: 4 },
      },
    },
    Stranger: {
      fields: {
        machine: { type: 'string', id: 1 },
        addr: { type: 'string', id: 2 },
        type: { type: 'string', id: 3 },
        zone: { type: 'string', id: 4 },
        spot: { type: 'bool', id: 5 },
      },
    },
    Task: {
      fields: {
        job: { type: 'string', id: 1 },
        index: { type: 'uint32', id: 2 },
        attempt: { type: 'uint64', id: 3 },
        state: { type: 'string', id: 4 },
        why: { type: 'string', id: 5 },
        saved: { type: 'bool', id: 6 },
      },
    },
    Heard: {
      fields: {
        machine: { type: 'string', id: 1 },
        session: { type: 'uint64', id: 2 },
        seq: { type: 'uint64', id: 3 },
        whole: { type: 'uint64', id: 4 },
      },
    },
    Report: {
      fields: {
        machine: { type: 'string', id: 1 },
        addr: { type: 'string', id: 2 },
        type: { type: 'string', id: 3 },
        zone: { type: 'string', id: 4 },
        spot: { type: 'bool', id: 5 },
        session: { type: 'uint64', id: 6 },
        seq: { type: 'uint64', id: 7 },
        token: { type: 'uint64', id: 8 },
        noticeS: { type: 'double', id: 9 },
        tasks: { rule: 'repeated', type: 'Task', id: 10 },
      },
    },
    Message: {
      fields: {
        status: { type: 'Status', id: 1 },
        /** a worker's report, passed on to the owner of its machine by a keeper */
        report: { type: 'Report', id: 2 },
        node: { type: 'string', id: 3 },
      },
    },
    Status: {
      fields: {
        node: { type: 'string', id: 1 },
        shares: { rule: 'repeated', type: 'Share', id: 2 },
        running: { rule: 'repeated', type: 'Running', id: 3 },
        strangers: { rule: 'repeated', type: 'Stranger', id: 4 },
        heard: { rule: 'repeated', type: 'Heard', id: 5 },
        plenty: { rule: 'repeated', type: 'string', id: 6 },
        lead: { type: 'bool', id: 7 },
        entitled: { type: 'bool', id: 9 },
        reach: { type: 'bool', id: 10 },
        storeOk: { type: 'bool', id: 11 },
        writes: { type: 'uint32', id: 12 },
        hears: { type: 'uint32', id: 13 },
        runningAll: { type: 'bool', id: 14 },
        loaded: { type: 'bool', id: 15 },
        cancelStamp: { type: 'uint64', id: 16 },
        ping: { type: 'string', id: 17 },
        echo: { type: 'string', id: 18 },
      },
    },
  },
});
const Message = root.lookupType('Message');

/** What one controller says to another: how it stands, or a report that it passes on. */
export interface PeerMessage {
  node: string;
  status: PeerStatus | null;
  report: Report | null;
}

export function encodePeer(m: PeerMessage): Uint8Array {
  const report = m.report && {
    ...m.report,
    // protobuf knows no null: a machine without a notice has a negative one.
    noticeS: m.report.noticeS ?? -1,
    tasks: m.report.tasks.map((t) => ({ ...t, why: t.why ?? '' })),
  };
  return Message.encode({
    node: m.node,
    status: m.status ?? undefined,
    report: report ?? undefined,
  } as unknown as protobuf.Message).finish();
}

export function decodePeer(bytes: Uint8Array): PeerMessage {
  const m = Message.toObject(Message.decode(bytes), { defaults: true, arrays: true, longs: Number }) as unknown as PeerMessage;
  if (m.report) {
    if ((m.report.noticeS ?? -1) < 0) m.report.noticeS = null;
    for (const t of m.report.tasks) if ((t.why as string) === '') t.why = null;
  }
  return m;
}
