// Adapts the production version to the current names. Only this file knows that version's names of inputs, effects, settings
// and members. Its bundle is never edited.
import type { Controller, ControllerSettings, Effect } from '@archpost/controller';
import type { Heartbeat, PeerMessage, PeerStatus } from '@archpost/protocol';
import type { ControllerVersion } from '../simulation/controller.js';
import * as production from './production-core.mjs';

type Fields = Record<string, unknown>;

/** Fields of heartbeats, statuses and commands: the current name and the production version's, the same in all of them. */
const MESSAGE_FIELDS: readonly (readonly [current: string, production: string])[] = [
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
const TO_PRODUCTION = new Map(MESSAGE_FIELDS);
const TO_CURRENT = new Map(MESSAGE_FIELDS.map(([current, production]) => [production, current]));

/** Returns a copy of the message in which the fields of all records are renamed. */
function renameFields(value: unknown, names: ReadonlyMap<string, string>): unknown {
  if (Array.isArray(value)) return value.map((element) => renameFields(element, names));
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(Object.entries(value).map(([name, field]) => [names.get(name) ?? name, renameFields(field, names)]));
}

/**
 * Members that tests read, by their current names, with their names in the production version. If there are several, the one
 * that exists in the object is used.
 */
const PRODUCTION_MEMBER_NAMES: Record<string, readonly string[]> = {
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

/** Returns a view of the object. Its members, and those of all objects reached through it, have the current names. */
function withCurrentNames(value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return value;
  const view: object = new Proxy(value, {
    get(target, name) {
      // Members that are now grouped in `tenure` were members of the object itself.
      if (name === 'tenure') return view;
      const productionName =
        typeof name === 'string' ? PRODUCTION_MEMBER_NAMES[name]?.find((member) => member in target) : undefined;
      const member = Reflect.get(target, productionName ?? name, target);
      if (name === 'releaseReason' && member === '') return null;
      if (typeof member !== 'function') return withCurrentNames(member);
      // Lease names of shards were strings.
      if (name === 'mayActUnder') return (lease: unknown, now: unknown) => member.call(target, String(lease), now);
      return (...inputs: unknown[]) => withCurrentNames(member.apply(target, inputs.map(original)));
    },
  });
  originals.set(view, value);
  return view;
}

function toProductionSettings(settings: ControllerSettings): unknown {
  const { name, controllers, shardCount, teams, objectives, workers, maxSockets, state, cloud, policy, ...same } = settings;
  const limits = ({ requestsPerS, writesPerS, valueKib, writesPerTransaction }: Partial<ControllerSettings['state']>) => ({
    rps: requestsPerS,
    writeRps: writesPerS,
    valueKb: valueKib,
    txnOps: writesPerTransaction,
  });
  const definedFields = (record: Fields) => Object.fromEntries(Object.entries(record).filter(([, value]) => value !== undefined));
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
    state: { ...limits(state), next: state.next && definedFields(limits(state.next)) },
    cloud: (({ requestsPerS, ...rest }) => ({ ...rest, rps: requestsPerS }))(cloud),
    policy: (({ holdSpareCapacity, ...rest }) => ({ ...rest, hold: holdSpareCapacity }))(policy),
  };
}

const toCurrentStatus = (status: unknown) => renameFields(status, TO_CURRENT) as PeerStatus;
const toCurrentHeartbeat = (heartbeat: unknown) => renameFields(heartbeat, TO_CURRENT) as Heartbeat;

/** Converts an effect of the production version to the current names. */
function toCurrentEffect(effect: Fields): Effect {
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
      return { type: 'sendStatus', to: rest.to, status: toCurrentStatus(rest.status) };
    case 'relay':
      return { type: 'forwardHeartbeat', to: rest.to, heartbeat: toCurrentHeartbeat(rest.report) };
    case 'log':
      return { type: 'log', level: rest.level, message: rest.msg, fields: rest.data } as Effect;
    default:
      throw new Error(`unknown effect of the production version: ${t}`);
  }
}

/** Passes an input to the production version's method for it, with its values converted to that version's names. */
type InputAdapter = (core: Record<string, (...inputs: unknown[]) => unknown>, ...inputs: unknown[]) => unknown;

const withStamps = (list: unknown) => (list as Fields[]).map(({ revision, ...row }) => ({ ...row, stamp: revision }));
const toProductionOutcome = (outcome: unknown) => renameFields(outcome, TO_PRODUCTION);
const toProductionProvisioningOutcome = (outcome: Fields) => (outcome.kind === 'outOfCapacity' ? { kind: 'full' } : outcome);

const INPUT_ADAPTERS: Record<string, InputAdapter> = {
  receiveSnapshot: (core, rows, ...rest) => core.loaded?.(withStamps(rows), ...rest),
  receiveChanges: (core, changes, ...rest) => core.changes?.(withStamps(changes), ...rest),
  receiveCompareAndSwapOutcome: (core, ...inputs) => core.txnResult?.(...inputs),
  receiveLeaseState: (core, ...inputs) => core.leaseState?.(...inputs),
  submitJob: (core, ...inputs) => core.submit?.(...inputs),
  queryJobStatus: (core, ...inputs) => core.poll?.(...inputs),
  cancelJob: (core, ...inputs) => core.cancel?.(...inputs),
  receiveHeartbeat: (core, id, heartbeat, now) => core.report?.(id, renameFields(heartbeat, TO_PRODUCTION), now),
  receiveForwardedHeartbeat: (core, heartbeat, now) => core.relayed?.(renameFields(heartbeat, TO_PRODUCTION), now),
  receiveCommandOutcome: (core, id, outcome, now) => core.commandResult?.(id, toProductionOutcome(outcome), now),
  receiveProbeOutcome: (core, ...inputs) => core.asked?.(...inputs),
  receiveMachineTypes: (core, ...inputs) => core.types?.(...inputs),
  receiveMachineList: (core, machines, now) => core.listed?.(machines && renameFields(machines, TO_PRODUCTION), now),
  receiveProvisioningOutcome: (core, id, outcome, now) =>
    core.rented?.(id, toProductionProvisioningOutcome(outcome as Fields), now),
  receiveReleaseOutcome: (core, ...inputs) => core.returned?.(...inputs),
  receivePeerStatus: (core, status, now) => core.peerStatus?.(renameFields(status, TO_PRODUCTION), now),
  peerDisconnected: (core, ...inputs) => core.peerDown?.(...inputs),
  processPaused: (core, ...inputs) => core.paused?.(...inputs),
  takeEffects: (core) => ((core.drain?.() ?? []) as Fields[]).map(toCurrentEffect),
};

/** Constructs a controller of the production version whose members have the current names. */
function ProductionController(settings: ControllerSettings, incarnation: string): object {
  const core = new production.Core(toProductionSettings(settings), incarnation);
  const view = withCurrentNames(core) as Fields;
  return new Proxy(core, {
    get(_target, name) {
      const input = INPUT_ADAPTERS[String(name)];
      if (!input) return view[String(name)];
      return (...inputs: unknown[]) => input(core as unknown as Parameters<InputAdapter>[0], ...inputs);
    },
  });
}

/** The production version, as a simulated cluster runs it. */
export const PRODUCTION: ControllerVersion = {
  Controller: ProductionController as unknown as typeof Controller,
  encodePeerMessage: (message) => production.encodePeer(renameFields(message, TO_PRODUCTION)),
  decodePeerMessage: (bytes) => renameFields(production.decodePeer(bytes), TO_CURRENT) as PeerMessage,
};
