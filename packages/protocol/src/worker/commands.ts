/** Commands to workers, sent directly or in the response to a heartbeat, and redirects to other controllers. */

/**
 * Start: run this attempt of a task. Stop: end it, after it has saved if the grace period is long enough. Forget:
 * leave an exited task out of heartbeats from now on. Workers carry commands out in order. Each may be repeated but
 * for a start after a forget, which would run the attempt again.
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

/** The response that renews a worker's lease; the worker drops it if it has seen a higher fencing token. */
export function encodeHeartbeatResponse(fencingToken: number, commands: Command[]): HeartbeatResponseOnWire {
  return { baton: fencingToken, orders: commands.map(encodeCommand) };
}

/** Direct commands: the worker refuses them if it has seen a higher fencing token or is in another agent epoch. */
export function encodeCommandRequest(fencingToken: number, agentEpoch: number, commands: Command[]): CommandRequestOnWire {
  return { baton: fencingToken, shift: agentEpoch, orders: commands.map(encodeCommand) };
}

/** Sends a worker to the controller of this name; null: to the next one that it knows. */
export function encodeRedirect(controller: string | null): { home?: string } {
  return controller === null ? {} : { home: controller };
}
