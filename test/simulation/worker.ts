/** A simulated machine and its worker, which follow PROTOCOL. */
import type { Controller } from '@archpost/controller';
import type { Command, Heartbeat, JobSpec, MachineType, TaskStatus } from '@archpost/protocol';
import type { SimulatedCluster } from './cluster.js';
import type { ControllerVersion, SimulatedController } from './controller.js';
import { TYPES } from './fixtures.js';

const HEARTBEAT_INTERVAL_MS = 2000;

/** Time that a worker waits for a response, and its delay before it tries the next controller. */
const RESPONSE_TIMEOUT_MS = 4000;
const NEXT_CONTROLLER_DELAY_MS = 1000;

interface WorkerTask extends TaskStatus {
  startedAt: number;
}

/** A command request that the worker executed. */
interface ExecutedRequest {
  fencingToken: number;
  agentEpoch: number;
  commands: Command[];
  /** version of the controller that sent it */
  version: ControllerVersion | null;
}

/** One worker: its lease, its agent epoch, the highest fencing token that it accepted, and its tasks. */
export class SimulatedWorker {
  agentEpoch = 1;
  sequence = 0;
  fencingToken = 0;
  tasks = new Map<string, WorkerTask>();
  leaseRenewedAt: number;
  readonly createdAt: number;
  nextHeartbeatAt = 0;
  controllerIndex = 0;
  preemptionNoticeS: number | null = null;
  /** whether the machine lost power or was released */
  dead = false;
  /** whether the machine hangs: it executes no commands and sends no responses until it resumes */
  hung = false;
  /** commands that a hung machine receives when it resumes */
  heldCommands: (() => void)[] = [];
  /** whether all tasks on the machine fail */
  isFaulty = false;
  /** executed requests that contain a start; the network or their senders may repeat them */
  private readonly executedStarts: ExecutedRequest[] = [];

  constructor(
    readonly cluster: SimulatedCluster,
    readonly name: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
  ) {
    this.leaseRenewedAt = cluster.now;
    this.createdAt = cluster.now;
  }

  /**
   * Reboots the machine: its epoch, sequence and fencing token start over, and its tasks are gone. `keepsRequests`: executed
   * requests may still be repeated.
   */
  reboot(keepsRequests = false): void {
    this.cluster.note(`${this.name} reboots`);
    this.agentEpoch = 1;
    this.sequence = 0;
    this.fencingToken = 0;
    this.tasks.clear();
    if (!keepsRequests) this.executedStarts.length = 0;
    this.leaseRenewedAt = this.cluster.now;
  }

  nextHeartbeat(): Heartbeat {
    this.sequence++;
    return {
      machine: this.name,
      address: this.name,
      type: this.type,
      zone: this.zone,
      spot: this.spot,
      agentEpoch: this.agentEpoch,
      sequence: this.sequence,
      fencingToken: this.fencingToken,
      preemptionNoticeS: this.preemptionNoticeS,
      tasks: [...this.tasks.values()].map(({ job, index, attempt, state, exitReason, saved }) => ({
        job,
        index,
        attempt,
        state,
        exitReason,
        saved,
      })),
    };
  }

  executeCommands(commands: Command[]): void {
    for (const command of commands) {
      const key = `${command.job}/${command.index}/${command.attempt}`;
      const task = this.tasks.get(key);
      if (command.type === 'start' && !task) {
        const spec = this.cluster.specs.get(command.job);
        const state = {
          job: command.job,
          index: command.index,
          attempt: command.attempt,
          saved: false,
          startedAt: this.cluster.now,
        };
        const used = [...this.tasks.values()].filter((other) => other.state !== 'exited');
        const capacity = TYPES.find((machineType) => machineType.name === this.type) as MachineType;
        const total = (amountOf: (spec: JobSpec) => number) =>
          used.reduce((sum, other) => sum + amountOf(this.cluster.specs.get(other.job) as JobSpec), spec ? amountOf(spec) : 0);
        if (!spec) this.tasks.set(key, { ...state, state: 'exited', exitReason: 'unknown' });
        else if (
          total((spec) => spec.cpus) > capacity.cpus ||
          total((spec) => spec.gpus) > capacity.gpus ||
          total((spec) => spec.memory) > capacity.memory
        )
          this.tasks.set(key, { ...state, state: 'exited', exitReason: 'no_room' });
        else {
          this.cluster.rules.checkStart(this, command.job, command.index);
          const startedTask: WorkerTask = {
            ...state,
            state: spec.shape === 'gang' && spec.tasks > 1 ? 'waiting' : 'running',
            exitReason: null,
          };
          this.tasks.set(key, startedTask);
          this.cluster.rules.recordStart(this, key, startedTask);
          this.cluster.note(`${this.name} starts ${command.job}/${command.index}`);
        }
      } else if (command.type === 'stop' && task && task.state !== 'exited') {
        task.state = 'exited';
        task.exitReason = 'stopped';
        this.cluster.note(`${this.name} stops ${command.job}/${command.index}`);
      } else if (command.type === 'forget' && task?.state === 'exited') {
        this.tasks.delete(key);
      }
    }
  }

  receiveCommands(
    fencingToken: number,
    agentEpoch: number,
    commands: Command[],
    version: ControllerVersion | null = null,
  ): Parameters<Controller['receiveCommandOutcome']>[1] {
    if (fencingToken < this.fencingToken || agentEpoch !== this.agentEpoch)
      return { kind: 'stale', heartbeat: this.nextHeartbeat() };
    this.fencingToken = fencingToken;
    this.executeCommands(commands);
    if (commands.some((command) => command.type === 'start'))
      this.executedStarts.push({ fencingToken, agentEpoch, commands, version });
    this.nextHeartbeatAt = Math.min(this.nextHeartbeatAt, this.cluster.now + 500);
    return { kind: 'ok', heartbeat: this.nextHeartbeat() };
  }

  /**
   * Delivers one of the executed requests that contain a start once more, unless a controller of the version `except` sent it.
   */
  repeatExecutedStart(index: number, except: ControllerVersion | null = null): void {
    const request = this.executedStarts[index];
    if (this.dead || this.hung || !request || (except !== null && request.version === except)) return;
    if (request.fencingToken < this.fencingToken || request.agentEpoch !== this.agentEpoch) return;
    this.fencingToken = request.fencingToken;
    this.executeCommands(request.commands);
    // The response, which nobody waits for, has a number too.
    this.sequence++;
  }

  get executedStartCount(): number {
    return this.executedStarts.length;
  }

  tick(): void {
    const { now, leaseMs } = this.cluster;
    if (this.dead || this.hung) return;
    for (const deliver of this.heldCommands.splice(0)) deliver();
    if (now - this.leaseRenewedAt > leaseMs) {
      if (this.tasks.size > 0) this.cluster.note(`${this.name} kills its tasks: lease expired`);
      this.tasks.clear();
      this.agentEpoch++;
      this.leaseRenewedAt = now;
    }
    for (const task of this.tasks.values()) {
      const spec = this.cluster.specs.get(task.job) as JobSpec;
      if (task.state === 'waiting') {
        const all = this.cluster.workers.flatMap((worker) => (worker.dead ? [] : [...worker.tasks.values()]));
        if (
          all.filter((other) => other.job === task.job && other.attempt === task.attempt && other.state !== 'exited').length ===
          spec.tasks
        )
          task.state = 'running';
      }
      if (task.state !== 'running') continue;
      const exitReason =
        this.isFaulty || this.cluster.failingJobs.has(task.job)
          ? 'error'
          : spec.shape !== 'service' && now - task.startedAt >= spec.estimatedRunS * 1000
            ? 'done'
            : null;
      if (!exitReason) continue;
      task.state = 'exited';
      task.exitReason = exitReason;
      if (exitReason === 'done') this.cluster.finished.add(`${task.job}/${task.index}`);
      this.nextHeartbeatAt = Math.min(this.nextHeartbeatAt, now + 500);
    }
    if (now >= this.nextHeartbeatAt) this.sendHeartbeat();
  }

  /**
   * Schedules the next heartbeat for the case that the response to this one doesn't arrive before the timeout: it goes to the
   * next controller, a second after the timeout. Only one heartbeat is in flight.
   */
  private expectResponse(): void {
    this.nextHeartbeatAt = this.cluster.now + RESPONSE_TIMEOUT_MS + NEXT_CONTROLLER_DELAY_MS;
    this.controllerIndex++;
  }

  private recordResponse(node: SimulatedController): void {
    this.nextHeartbeatAt = this.cluster.now + HEARTBEAT_INTERVAL_MS;
    this.controllerIndex = this.cluster.controllers.indexOf(node);
  }

  private sendHeartbeat(): void {
    const { cluster } = this;
    this.nextHeartbeatAt = cluster.now + HEARTBEAT_INTERVAL_MS;
    const node = cluster.controllers[this.controllerIndex % cluster.controllers.length] as SimulatedController;
    const sentAt = cluster.now;
    const { agentEpoch } = this;
    const tryNextController = () => {
      this.controllerIndex++;
      this.nextHeartbeatAt = cluster.now + NEXT_CONTROLLER_DELAY_MS;
    };
    if (!node.up || cluster.losesHeartbeats(this.name) || cluster.isPartitioned(node.name, this.name)) return tryNextController();
    if (node.isPaused) {
      // No response arrives within 4 s; the controller processes the heartbeat when it resumes.
      this.controllerIndex++;
      this.nextHeartbeatAt = cluster.now + 5000;
    }
    if (node.processorBudget !== null) this.expectResponse();
    const heartbeat = this.nextHeartbeat();
    cluster.onHeartbeat?.(heartbeat);
    node.receiveHeartbeat(heartbeat, (status, body) => {
      if (node.processorBudget !== null && cluster.now - sentAt <= RESPONSE_TIMEOUT_MS) this.recordResponse(node);
      if (this.dead || this.hung || agentEpoch !== this.agentEpoch || cluster.now - sentAt > RESPONSE_TIMEOUT_MS) return;
      if (cluster.losesControllerMessages(node.name, this.name)) return tryNextController();
      if (status === 421 && typeof body.home === 'string') {
        this.controllerIndex = cluster.controllers.findIndex((node) => node.name === body.home);
        this.nextHeartbeatAt = cluster.now + 100;
      } else if (status !== 200) tryNextController();
      else if (typeof body.baton === 'number' && body.baton >= this.fencingToken) {
        if (body.baton > this.fencingToken) this.nextHeartbeatAt = cluster.now + 500;
        this.fencingToken = body.baton;
        this.leaseRenewedAt = Math.max(this.leaseRenewedAt, sentAt);
        const orders = body.orders as { verb: string; piece: string; try: number }[];
        this.executeCommands(
          orders.map((order) => ({
            type: order.verb === 'run' ? 'start' : order.verb === 'clear' ? 'forget' : 'stop',
            job: order.piece.slice(0, order.piece.lastIndexOf('/')),
            index: Number(order.piece.slice(order.piece.lastIndexOf('/') + 1)),
            attempt: order.try,
            graceS: 0,
          })),
        );
      }
    });
  }
}
