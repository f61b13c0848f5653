// The version in production under today's names: the one place that knows what that version calls its inputs, effects,
// settings and tables. Its bundle is never edited.
import type { Controller, ControllerSettings, Effect } from '@archpost/controller';
import type { Heartbeat, PeerMessage, PeerStatus } from '@archpost/protocol';
import type { ControllerVersion } from '../simulation/controller.js';
import * as production from './production-core.mjs';

type Fields = Record<string, unknown>;

/** Fields of heartbeats, statuses and commands, today's name first. They are the same wherever they occur. */
const MESSAGE_FIELDS: readonly (readonly [today: string, then: string])[] = [
  ['address', 'addr'],
  ['agentEpoch', 'session'],
  ['sequence', 'seq'],
  ['forwardedSequence', 'whole'],
  ['fencingToken', 'token'],
  ['preemptionNoticeS', 'noticeS'],
  ['exitReason', 'why'],
  ['heartbeat', 'report'],
  ['protectedPriority', 'firmRank'],
  ['priority', 'rank'],
  ['withinQuota', 'within'],
  ['excludedZones', 'notZones'],
  ['shard', 'share'],
  ['shards', 'shares'],
  ['runningJobs', 'running'],
  ['runningJobsComplete', 'runningAll'],
  ['unassignedMachines', 'strangers'],
  ['unchangedHeartbeats', 'heard'],
  ['availableTypes', 'plenty'],
  ['isLeader', 'lead'],
  ['mayAnswerWorkers', 'entitled'],
  ['reachesWorkers', 'reach'],
  ['wantedWritesPerS', 'writes'],
  ['stateServiceAnswers', 'storeOk'],
  ['heardWorkers', 'hears'],
  ['replicaLoaded', 'loaded'],
  ['cancellationRevision', 'cancelStamp'],
];
const TO_THEN = new Map(MESSAGE_FIELDS);
const TO_TODAY = new Map(MESSAGE_FIELDS.map(([today, then]) => [then, today]));

/** The message with the fields of all its records renamed. */
function renamed(value: unknown, names: ReadonlyMap<string, string>): unknown {
  if (Array.isArray(value)) return value.map((element) => renamed(element, names));
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(Object.entries(value).map(([name, field]) => [names.get(name) ?? name, renamed(field, names)]));
}

/**
 * Members of the core's objects that tests look at, and what they were called then. Where two objects had members of
 * different names for what has one name today, the one that the object has is meant.
 */
const MEMBERS: Record<string, readonly string[]> = {
  clusterState: ['table'],
  finishedJobs: ['finals'],
  leaseOf: ['holder'],
  controller: ['node'],
  shardOfTeam: ['teamShare'],
  shardController: ['owner'],
  heldShards: ['held'],
  allocations: ['work', 'placements'],
  isSchedulable: ['usable'],
  shardLeases: ['holdings'],
  mayActUnder: ['active'],
  heldLeases: ['mine'],
  isReady: ['ready'],
  isVerified: ['resolved'],
  isLeading: ['leading'],
  leader: ['lead'],
  releaseReason: ['giveBack'],
  shard: ['share'],
  reachesWorkers: ['reach'],
};

const originals = new WeakMap<object, object>();

function original(value: unknown): unknown {
  return typeof value === 'object' && value !== null ? (originals.get(value) ?? value) : value;
}

/** The same object, whose members, and those of all that it leads to, have today's names. */
function underTodaysNames(value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return value;
  const view: object = new Proxy(value, {
    get(target, name) {
      // What is grouped by tenure today stood beside everything else.
      if (name === 'tenure') return view;
      const then = typeof name === 'string' ? MEMBERS[name]?.find((member) => member in target) : undefined;
      const member = Reflect.get(target, then ?? name, target);
      if (name === 'releaseReason' && member === '') return null;
      if (typeof member !== 'function') return underTodaysNames(member);
      // Shards' leases had strings for names.
      if (name === 'mayActUnder') return (lease: unknown, now: unknown) => member.call(target, String(lease), now);
      return (...inputs: unknown[]) => underTodaysNames(member.apply(target, inputs.map(original)));
    },
  });
  originals.set(view, value);
  return view;
}

function settingsThen(settings: ControllerSettings): unknown {
  const { name, controllers, shardCount, teams, objectives, workers, maxSockets, state, cloud, policy, ...same } = settings;
  const limits = ({ requestsPerS, writesPerS, valueKib, writesPerTransaction }: Partial<ControllerSettings['state']>) => ({
    rps: requestsPerS,
    writeRps: writesPerS,
    valueKb: valueKib,
    txnOps: writesPerTransaction,
  });
  const given = (record: Fields) => Object.fromEntries(Object.entries(record).filter(([, value]) => value !== undefined));
  return {
    ...same,
    node: name,
    nodes: controllers,
    shares: shardCount,
    sockets: maxSockets,
    teams: teams.map(({ maxCpus, maxGpus, ...team }) => ({ ...team, cpusMax: maxCpus, gpusMax: maxGpus })),
    objectives: objectives.map(({ jobClass, deadlineMultiple, ...rest }) => ({
      ...rest,
      cls: jobClass,
      times: deadlineMultiple,
    })),
    workers: (({ heartbeatIntervalS, ...rest }) => ({ ...rest, reportS: heartbeatIntervalS }))(workers),
    state: { ...limits(state), next: state.next && given(limits(state.next)) },
    cloud: (({ requestsPerS, ...rest }) => ({ ...rest, rps: requestsPerS }))(cloud),
    policy: (({ holdSpareCapacity, ...rest }) => ({ ...rest, hold: holdSpareCapacity }))(policy),
  };
}

const statusToday = (status: unknown) => renamed(status, TO_TODAY) as PeerStatus;
const heartbeatToday = (heartbeat: unknown) => renamed(heartbeat, TO_TODAY) as Heartbeat;

/** What the production version asks for, under today's names. */
function effectToday(effect: Fields): Effect {
  const { t, ...rest } = effect as Fields & { id: number; to: string };
  switch (t) {
    case 'txn': {
      const guards = rest.guards as { key: string; stamp: number }[];
      const conditions = guards.map(({ key, stamp: revision }) => ({ key, revision }));
      return { type: 'compareAndSwap', id: rest.id, conditions, writes: rest.writes } as Effect;
    }
    case 'barrier':
      return { type: 'readBarrier', urgent: rest.soon } as Effect;
    case 'command': {
      const commands = (rest.commands as Fields[]).map(({ op, ...command }) => ({ type: op, ...command }));
      const { id, machine, addr: address, token, session } = rest;
      return { type: 'command', id, machine, address, fencingToken: token, agentEpoch: session, commands } as Effect;
    }
    case 'ask':
      return { type: 'probe', id: rest.id, address: rest.addr } as Effect;
    case 'rent': {
      const { request, type, ...rental } = rest.rental as Fields;
      return { type: 'provision', id: rest.id, request: { requestId: request, machineType: type, ...rental } } as Effect;
    }
    case 'return':
      return { ...rest, type: 'release' } as unknown as Effect;
    case 'list':
      return { type: 'listMachines' };
    case 'types':
      return { type: 'fetchMachineTypes' };
    case 'answer':
      return { ...rest, type: 'respond' } as unknown as Effect;
    case 'status':
      return { type: 'sendStatus', to: rest.to, status: statusToday(rest.status) };
    case 'relay':
      return { type: 'forwardHeartbeat', to: rest.to, heartbeat: heartbeatToday(rest.report) };
    case 'log':
      return { type: 'log', level: rest.level, message: rest.msg, fields: rest.data } as Effect;
    default:
      throw new Error(`the version in production has an effect that isn't known here: ${t}`);
  }
}

/** Inputs: what they were called then, and how what they bring is told in the names of then. */
type Input = (core: Record<string, (...inputs: unknown[]) => unknown>, ...inputs: unknown[]) => unknown;

const stamped = (list: unknown) => (list as Fields[]).map(({ revision, ...row }) => ({ ...row, stamp: revision }));
const outcomeThen = (outcome: unknown) => renamed(outcome, TO_THEN);
const provisioningOutcomeThen = (outcome: Fields) => (outcome.kind === 'outOfCapacity' ? { kind: 'full' } : outcome);

const INPUTS: Record<string, Input> = {
  receiveSnapshot: (core, rows, ...rest) => core.loaded?.(stamped(rows), ...rest),
  receiveChanges: (core, changes, ...rest) => core.changes?.(stamped(changes), ...rest),
  receiveCompareAndSwapOutcome: (core, ...inputs) => core.txnResult?.(...inputs),
  receiveLeaseState: (core, ...inputs) => core.leaseState?.(...inputs),
  submitJob: (core, ...inputs) => core.submit?.(...inputs),
  queryJobStatus: (core, ...inputs) => core.poll?.(...inputs),
  cancelJob: (core, ...inputs) => core.cancel?.(...inputs),
  receiveHeartbeat: (core, id, heartbeat, now) => core.report?.(id, renamed(heartbeat, TO_THEN), now),
  receiveForwardedHeartbeat: (core, heartbeat, now) => core.relayed?.(renamed(heartbeat, TO_THEN), now),
  receiveCommandOutcome: (core, id, outcome, now) => core.commandResult?.(id, outcomeThen(outcome), now),
  receiveProbeOutcome: (core, ...inputs) => core.asked?.(...inputs),
  receiveMachineTypes: (core, ...inputs) => core.types?.(...inputs),
  receiveMachineList: (core, machines, now) => core.listed?.(machines && renamed(machines, TO_THEN), now),
  receiveProvisioningOutcome: (core, id, outcome, now) => core.rented?.(id, provisioningOutcomeThen(outcome as Fields), now),
  receiveReleaseOutcome: (core, ...inputs) => core.returned?.(...inputs),
  receivePeerStatus: (core, status, now) => core.peerStatus?.(renamed(status, TO_THEN), now),
  peerDisconnected: (core, ...inputs) => core.peerDown?.(...inputs),
  processPaused: (core, ...inputs) => core.paused?.(...inputs),
  takeEffects: (core) => ((core.drain?.() ?? []) as Fields[]).map(effectToday),
};

/** Makes a controller of the version in production, whose members have today's names. */
function ProductionController(settings: ControllerSettings, incarnation: string): object {
  const core = new production.Core(settingsThen(settings), incarnation);
  const view = underTodaysNames(core) as Fields;
  return new Proxy(core, {
    get(_target, name) {
      const input = INPUTS[String(name)];
      if (!input) return view[String(name)];
      return (...inputs: unknown[]) => input(core as unknown as Parameters<Input>[0], ...inputs);
    },
  });
}

/** The version in production, to be run by a simulated cluster. */
export const PRODUCTION: ControllerVersion = {
  Controller: ProductionController as unknown as typeof Controller,
  encodePeerMessage: (message) => production.encodePeer(renamed(message, TO_THEN)),
  decodePeerMessage: (bytes) => renamed(production.decodePeer(bytes), TO_TODAY) as PeerMessage,
};
