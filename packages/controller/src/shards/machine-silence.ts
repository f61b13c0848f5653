/**
 * How long a machine has been silent, excluding the time in which this controller could not have read its heartbeats. A silence
 * counts from the last contact with the machine, for the time in which arrived inputs were read. Since a controller may be slow
 * for long, the excluded time is bounded: a machine without contact for a multiple of the tolerated silence that also leaves
 * several commands in a row unanswered is silent, whatever the cause. Owns no state.
 */
import type { SettingsView } from '../context/index.js';
import type { Machine, Milliseconds } from '../model/index.js';
import type { LocalHealth } from './local-health.js';

/**
 * Beyond this multiple of the tolerated silence, delays of this controller are no longer subtracted. With a tolerated silence of
 * 7 s the limit is 21 s. Together with the commands that must go unanswered, that is less than the time of a cancellation.
 */
const MAX_SILENCE_FACTOR = 3;

/** A machine that left this many commands in a row unanswered, each until its timeout, counts as unresponsive. */
const UNRESPONSIVE_AFTER_COMMANDS = 3;

/** Measures silences by the time in which this controller read its inputs. */
export class MachineSilence {
  constructor(
    private readonly context: SettingsView,
    private readonly localHealth: LocalHealth,
  ) {}

  /** Returns for how long since `since` this controller read arrived inputs. */
  readableMsSince(since: Milliseconds, now: Milliseconds): Milliseconds {
    return now - since - this.localHealth.unreadMsSince(since);
  }

  /**
   * Returns how long the machine has been silent while this controller read arrived inputs. `lastHeartbeatAt` excludes pauses of
   * this process and times in which no worker could be reached; the local health excludes the time in which this controller was
   * behind its inputs. The shorter of the two silences counts.
   */
  silentMs({ tenure }: Machine, now: Milliseconds): Milliseconds {
    return Math.min(now - tenure.lastHeartbeatAt, this.readableMsSince(tenure.lastContactAt, now));
  }

  /** Whether the last contact with the machine is so old that delays of this controller are no longer subtracted. */
  exceedsMaxSilence(machine: Machine, now: Milliseconds): boolean {
    return exceedsMaxSilence(machine, this.context, now);
  }

  /**
   * Whether the machine's silence exceeds the tolerated silence. If this controller was behind its inputs for most of that time,
   * the rest consists of short periods in which hardly any heartbeat arrived, so unanswered commands must confirm the silence.
   */
  exceedsToleratedSilence(machine: Machine, now: Milliseconds): boolean {
    const silentMs = this.silentMs(machine, now);
    if (silentMs > this.toleratedSilenceMs && this.localHealth.unreadMsSince(machine.tenure.lastContactAt) < silentMs)
      return true;
    if (!isUnresponsive(machine)) return false;
    return silentMs > this.toleratedSilenceMs || this.exceedsMaxSilence(machine, now);
  }

  private get toleratedSilenceMs(): Milliseconds {
    return this.context.settings.policy.silentS * 1000;
  }
}

/** Whether the machine left several commands in a row unanswered. */
export function isUnresponsive({ tenure }: Machine): boolean {
  return tenure.unansweredCommands >= UNRESPONSIVE_AFTER_COMMANDS;
}

/** Whether the last contact with the machine is so old that delays of this controller are no longer subtracted. */
export function exceedsMaxSilence({ tenure }: Machine, { settings }: SettingsView, now: Milliseconds): boolean {
  return now - tenure.lastContactAt > MAX_SILENCE_FACTOR * settings.policy.silentS * 1000;
}
