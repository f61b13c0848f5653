export type Command =
  | { type: 'start'; job: string; index: number; attempt: number }
  | { type: 'stop'; job: string; index: number; attempt: number; graceS: number }
  | { type: 'forget'; job: string; index: number; attempt: number };

const COMMAND_TO_WIRE = { start: 'run', stop: 'stop', forget: 'clear' } as const;

function encodeCommand(command: Command): Record<string, unknown> {
  const encoded: Record<string, unknown> = {
    verb: COMMAND_TO_WIRE[command.type],
    piece: `${command.job}/${command.index}`,
    try: command.attempt,
  };
  if (command.type === 'stop') encoded.wind_down_s = command.graceS;
  return encoded;
}

export function encodeHeartbeatResponse(fencingToken: number, commands: Command[]) {
  return { baton: fencingToken, orders: commands.map(encodeCommand) };
}

export function encodeCommandRequest(fencingToken: number, agentEpoch: number, commands: Command[]) {
  return { baton: fencingToken, shift: agentEpoch, orders: commands.map(encodeCommand) };
}

export function encodeRedirect(controller: string | null) {
  return controller === null ? {} : { home: controller };
}
