/** Evaluates V8 CPU profiles: the share of the processor time of each function. */

/** A node of the call tree. */
interface ProfileNode {
  id: number;
  callFrame: { functionName: string; url: string; lineNumber: number };
  children?: number[];
}

/** A CPU profile as returned by the inspector (`Profiler.stop`). */
export interface CpuProfile {
  nodes: ProfileNode[];
  samples: number[];
  timeDeltas: number[];
}

const MAX_FUNCTIONS = 45;

function label({ callFrame: { functionName, url, lineNumber } }: ProfileNode): string {
  const file = url.split('/').pop() ?? '';
  return `${functionName || '(anonymous)'} ${file}:${lineNumber + 1}`;
}

/** Returns the lines of two tables: the functions with the most self time, and with the most time including callees. */
export function formatShares(profiles: CpuProfile[]): string[] {
  const own = new Map<string, number>();
  const inclusive = new Map<string, number>();
  let busy = 0;
  for (const profile of profiles) {
    const byId = new Map(profile.nodes.map((node) => [node.id, node]));
    const parent = new Map<number, number>();
    for (const node of profile.nodes) for (const child of node.children ?? []) parent.set(child, node.id);
    profile.samples.forEach((id, index) => {
      const us = profile.timeDeltas[index] ?? 0;
      const node = byId.get(id) as ProfileNode;
      if (node.callFrame.functionName === '(idle)') return;
      busy += us;
      const name = label(node);
      own.set(name, (own.get(name) ?? 0) + us);
      const path = new Set<string>();
      for (let at: number | undefined = id; at !== undefined; at = parent.get(at)) path.add(label(byId.get(at) as ProfileNode));
      for (const calledIn of path) inclusive.set(calledIn, (inclusive.get(calledIn) ?? 0) + us);
    });
  }
  const top = (times: Map<string, number>) =>
    [...times]
      .sort((a, b) => b[1] - a[1])
      .slice(0, MAX_FUNCTIONS)
      .map(([name, us]) => `  ${((100 * us) / busy).toFixed(1).padStart(5)}% ${(us / 1000).toFixed(0).padStart(6)} ms ${name}`);
  return ['self time', ...top(own), 'time including callees', ...top(inclusive)];
}
