import protobuf from 'protobufjs/light.js';

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

export interface PeerStatus {
  node: string;
  shares: PeerShare[];
  /** running tasks of jobs, for display */
  running: { job: string; count: number; done: number }[];
  /** machines without a grant whose workers reported here */
  strangers: { machine: string; addr: string; type: string; zone: string; spot: boolean }[];
  /** machines that reported here within the last seconds though others own them */
  heard: string[];
  /** told by the lead: machine types that the cloud still has, ordinary ones */
  plenty: string[];
  lead: boolean;
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
    Status: {
      fields: {
        node: { type: 'string', id: 1 },
        shares: { rule: 'repeated', type: 'Share', id: 2 },
        running: { rule: 'repeated', type: 'Running', id: 3 },
        strangers: { rule: 'repeated', type: 'Stranger', id: 4 },
        heard: { rule: 'repeated', type: 'string', id: 5 },
        plenty: { rule: 'repeated', type: 'string', id: 6 },
        lead: { type: 'bool', id: 7 },
      },
    },
  },
});
const Status = root.lookupType('Status');

export function encodeStatus(s: PeerStatus): Uint8Array {
  return Status.encode(s as unknown as protobuf.Message).finish();
}

export function decodeStatus(bytes: Uint8Array): PeerStatus {
  return Status.toObject(Status.decode(bytes), { defaults: true, arrays: true }) as unknown as PeerStatus;
}
