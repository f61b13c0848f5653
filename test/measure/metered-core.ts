// A controller core that reports the time that its inputs take. Only for measurements: no test asserts times.
import { performance } from 'node:perf_hooks';
import { Controller } from '@archpost/controller';

/** The inputs of the controller core, by method name. */
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

/** Called after each input with the controller's name, the input and its duration in milliseconds. */
export type Meter = (controller: string, input: InputName, ms: number) => void;

/** Returns a subclass of the controller that reports the duration of each input to the meter. */
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
