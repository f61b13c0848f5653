/** What an owner writes of its machines' grants: moves to another share, tokens that rise, and machines that are gone. */

import type { Work } from '../allocation/task-allocations.js';
import type { Context } from '../context/index.js';
import type { Machine } from '../model/index.js';
import { encodeGrant } from '../state/assignment-record.js';
import { KEY } from '../state/keys.js';
import { URGENCY } from '../state/write-queue.js';

/** What was stored of a gone machine's images is removed within this time, or left. */
const IMAGES_MS = 15_000;

export class GrantChanges {
  constructor(
    private readonly context: Context,
    private readonly work: Work,
  ) {}

  /** Gives the machine, which bears nothing, to the share that it is to move to. */
  handOver(machine: Machine): void {
    if (machine.grantQueued) return;
    machine.grantQueued = true;
    const to = machine.moveTo;
    this.context.writer.add({
      key: KEY.grant(machine.name),
      value: () => encodeGrant({ ...this.context.table.grantOf(machine), share: to }),
      guard: machine.grantStamp,
      also: this.work.also(machine.share),
      urgency: URGENCY.grant,
      done: (outcome) => {
        machine.grantQueued = false;
        if (outcome === 'ok') this.context.log('debug', 'machine handed over', { machine: machine.name, to });
      },
    });
  }

  /**
   * Guards against a command that we gave up on and that is executed late: the worker
   * takes nothing older once it has seen the higher token.
   */
  raiseToken(machine: Machine): void {
    if (machine.grantQueued) return;
    machine.raisingToken = true;
    machine.grantQueued = true;
    const rewriteOf = machine.grantStamp;
    this.context.writer.add({
      key: KEY.grant(machine.name),
      value: () => {
        const moveTo = machine.moveTo >= 0 ? machine.moveTo : null;
        return encodeGrant({ ...this.context.table.grantOf(machine), moveTo, retire: machine.retire }, rewriteOf);
      },
      guard: machine.grantStamp,
      also: this.work.also(machine.share),
      urgency: URGENCY.release,
      // No command to the machine leaves before this is stored, and so no stop.
      pressing: () => this.work.bearsCancelled(machine),
      done: (outcome) => {
        machine.grantQueued = false;
        machine.raisingToken = false;
        if (outcome === 'ok') {
          machine.dirty = false;
          machine.resolved = false;
          machine.probed = false;
        }
      },
    });
  }

  /** The machine is gone. */
  dropGrant(machine: Machine): void {
    const cache = KEY.cache(machine.name);
    const kept = this.context.replica.get(cache);
    if (kept)
      this.context.writer.add({
        key: cache,
        value: () => undefined,
        guard: kept.stamp,
        urgency: URGENCY.images,
        until: this.work.now + IMAGES_MS,
        done: () => {},
      });
    this.context.writer.add({
      key: KEY.grant(machine.name),
      value: () => undefined,
      guard: machine.grantStamp,
      also: this.work.also(machine.share),
      urgency: URGENCY.release,
      done: (outcome) => {
        if (outcome !== 'ok' && this.context.table.machines.get(machine.name) === machine && this.work.held.has(machine.share))
          this.dropGrant(machine);
      },
    });
  }
}
