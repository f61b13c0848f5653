/**
 * How long a machine has been silent, as far as this controller could have heard it. A silence counts from when the machine was
 * last heard, for the time in which what arrived was read. Since a controller may be slow for long, that is bounded: a machine
 * that has not been heard for a multiple of the tolerated time, whatever the reason, and does not answer several commands in a
 * row, is silent. Judgements alone; owns no state.
 */
import type { SettingsView } from '../context/index.js';
import type { Machine, Milliseconds } from '../model/index.js';
import type { LocalHealth } from './local-health.js';

/**
 * Beyond this multiple of the time that a silence is tolerated, none of it is forgiven any more. With 7 s these are 21 s, which
 * with the commands that have to go unanswered are less than a cancellation has.
 */
const MAX_SILENCE_FACTOR = 3;

/** A machine that did not answer this many commands in a row, each of which had its time, can't be reached. */
const UNANSWERED_COMMANDS = 3;

/** Judges silences by what this controller was able to hear. */
export class MachineSilence {
  constructor(
    private readonly context: SettingsView,
    private readonly localHealth: LocalHealth,
  ) {}

  /** Milliseconds since the time in which this controller read what arrived. */
  heardMsSince(since: Milliseconds, now: Milliseconds): Milliseconds {
    return now - since - this.localHealth.unreadMsSince(since);
  }

  /**
   * How long the machine has been silent while this controller read what arrived. `lastHeartbeatAt` leaves out pauses of this
   * process and times in which nobody could be heard, the account all times in which it was behind: the shorter silence counts.
   */
  silentMs({ tenure }: Machine, now: Milliseconds): Milliseconds {
    return Math.min(now - tenure.lastHeartbeatAt, this.heardMsSince(tenure.lastContactAt, now));
  }

  /** Has nobody heard the machine for so long that no delay of this controller is an excuse any more? */
  isBeyondForgiveness(machine: Machine, now: Milliseconds): boolean {
    return isBeyondForgiveness(machine, this.context, now);
  }

  /**
   * Is the machine's silence longer than is tolerated? Where this controller was behind for most of it, the rest adds up from
   * moments in which hardly anybody was heard, so commands without an answer have to confirm it.
   */
  isBeyondTolerance(machine: Machine, now: Milliseconds): boolean {
    const silentMs = this.silentMs(machine, now);
    if (silentMs > this.toleratedMs && this.localHealth.unreadMsSince(machine.tenure.lastContactAt) < silentMs) return true;
    if (!isUnanswering(machine)) return false;
    return silentMs > this.toleratedMs || this.isBeyondForgiveness(machine, now);
  }

  private get toleratedMs(): Milliseconds {
    return this.context.settings.policy.silentS * 1000;
  }
}

/** Did the machine not answer several commands in a row? */
export function isUnanswering({ tenure }: Machine): boolean {
  return tenure.unansweredCommands >= UNANSWERED_COMMANDS;
}

/** Has the machine been unheard for so long that no delay of this controller is an excuse any more? */
export function isBeyondForgiveness({ tenure }: Machine, { settings }: SettingsView, now: Milliseconds): boolean {
  return now - tenure.lastContactAt > MAX_SILENCE_FACTOR * settings.policy.silentS * 1000;
}
