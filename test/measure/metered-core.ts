// A core that tells what processor time its inputs take. Only for measurements: nothing is asserted of times.
import { performance } from 'node:perf_hooks';
import { Core } from '@archpost/controller';

/** Inputs of the core, by the name of its method. */
export type InputName =
  | 'loaded'
  | 'changes'
  | 'txnResult'
  | 'leaseState'
  | 'submit'
  | 'poll'
  | 'cancel'
  | 'report'
  | 'relayed'
  | 'commandResult'
  | 'listed'
  | 'rented'
  | 'returned'
  | 'peerStatus'
  | 'tick';

const INPUTS: readonly InputName[] = [
  'loaded',
  'changes',
  'txnResult',
  'leaseState',
  'submit',
  'poll',
  'cancel',
  'report',
  'relayed',
  'commandResult',
  'listed',
  'rented',
  'returned',
  'peerStatus',
  'tick',
];

/** Told of each input that a controller took: which controller, which input, milliseconds. */
export type Meter = (node: string, input: InputName, ms: number) => void;

/** A class of cores that tell the meter what each input takes. */
export function meteredCore(meter: Meter): typeof Core {
  return class MeteredCore extends Core {
    constructor(...args: ConstructorParameters<typeof Core>) {
      super(...args);
      const node = this.settings.node;
      const self = this as unknown as Record<InputName, (...inputs: unknown[]) => unknown>;
      for (const name of INPUTS) {
        const method = self[name].bind(this);
        self[name] = (...inputs) => {
          const startedAt = performance.now();
          const result = method(...inputs);
          meter(node, name, performance.now() - startedAt);
          return result;
        };
      }
    }
  };
}
