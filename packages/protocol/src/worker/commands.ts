/** Commands to workers, sent directly or in the response to a heartbeat, and redirects to other controllers. */

/**
 * `start`: run this attempt of a task. `stop`: end the attempt, after it has saved a checkpoint if the grace period is long
 * enough. `forget`: omit an exited task from future heartbeats. Workers execute commands in order. Commands may be repeated,
 * except for a `start` after a `forget`, which would run the attempt again.
 */
export type Command =
  | { type: 'start'; job: string; index: number; attempt: number }
  | { type: 'stop'; job: string; index: number; attempt: number; graceS: number }
  | { type: 'forget'; job: string; index: number; attempt: number };

const COMMAND_TO_WIRE = { start: 'run', stop: 'stop', forget: 'clear' } as const satisfies Record<Command['type'], string>;

interface CommandOnWire {
  verb: string;
  piece: string;
  try: number;
  wind_down_s?: number;
}

interface HeartbeatResponseOnWire {
  baton: number;
  orders: CommandOnWire[];
}

interface CommandRequestOnWire extends HeartbeatResponseOnWire {
  shift: number;
}

function encodeCommand(command: Command): CommandOnWire {
  const encoded: CommandOnWire = {
    verb: COMMAND_TO_WIRE[command.type],
    piece: `${command.job}/${command.index}`,
    try: command.attempt,
  };
  if (command.type === 'stop') encoded.wind_down_s = command.graceS;
  return encoded;
}

/** Encodes the response that renews a worker's lease. The worker ignores it if it has seen a higher fencing token. */
export function encodeHeartbeatResponse(fencingToken: number, commands: Command[]): HeartbeatResponseOnWire {
  return { baton: fencingToken, orders: commands.map(encodeCommand) };
}

/** Encodes direct commands. The worker rejects them if it has seen a higher fencing token or is in another agent epoch. */
export function encodeCommandRequest(fencingToken: number, agentEpoch: number, commands: Command[]): CommandRequestOnWire {
  return { baton: fencingToken, shift: agentEpoch, orders: commands.map(encodeCommand) };
}

/** Encodes a redirect of a worker to the controller of this name; null: to the next controller that the worker knows. */
export function encodeRedirect(controller: string | null): { home?: string } {
  return controller === null ? {} : { home: controller };
}
