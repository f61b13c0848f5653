// A core that tells what processor time its inputs take. Only for measurements: nothing is asserted of times.
import { performance } from 'node:perf_hooks';
import { Controller } from '@archpost/controller';

/** Inputs of the core, by the name of its method. */
export type InputName =
  | 'receiveSnapshot'
  | 'receiveChanges'
  | 'receiveCompareAndSwapOutcome'
  | 'receiveLeaseState'
  | 'submitJob'
  | 'queryJobStatus'
  | 'cancelJob'
  | 'receiveHeartbeat'
  | 'receiveForwardedHeartbeat'
  | 'receiveCommandOutcome'
  | 'receiveMachineList'
  | 'receiveProvisioningOutcome'
  | 'receiveReleaseOutcome'
  | 'receivePeerStatus'
  | 'tick';

const INPUTS: readonly InputName[] = [
  'receiveSnapshot',
  'receiveChanges',
  'receiveCompareAndSwapOutcome',
  'receiveLeaseState',
  'submitJob',
  'queryJobStatus',
  'cancelJob',
  'receiveHeartbeat',
  'receiveForwardedHeartbeat',
  'receiveCommandOutcome',
  'receiveMachineList',
  'receiveProvisioningOutcome',
  'receiveReleaseOutcome',
  'receivePeerStatus',
  'tick',
];

/** Told of each input that a controller took: which controller, which input, milliseconds. */
export type Meter = (controller: string, input: InputName, ms: number) => void;

/** A class of cores that tell the meter what each input takes. */
export function meteredCore(meter: Meter): typeof Controller {
  return class MeteredCore extends Controller {
    constructor(...args: ConstructorParameters<typeof Controller>) {
      super(...args);
      const controller = this.settings.name;
      const self = this as unknown as Record<InputName, (...inputs: unknown[]) => unknown>;
      for (const name of INPUTS) {
        const method = self[name].bind(this);
        self[name] = (...inputs) => {
          const startedAt = performance.now();
          const result = method(...inputs);
          meter(controller, name, performance.now() - startedAt);
          return result;
        };
      }
    }
  };
}
