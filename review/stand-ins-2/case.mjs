/** What every case does: starts the stand-ins, plays its part, writes the verdict, and ends all that it started. */
import { Record } from './record.mjs';

export const TROUBLE = process.env.TROUBLE !== '0';

/** A case that can't be judged: what has to hold before the disruption didn't. */
export class CannotRun extends Error {}

/** Ends a case in time: no case runs longer than 120 s. */
const TIME_LIMIT_MS = 112_000;

/**
 * Plays a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. `play` gets the record and
 * `onEnd`, by which it names what has to be closed, and returns a description of each breach.
 */
export async function runCase(folder, play) {
  const record = new Record(new URL('record.txt', folder).pathname);
  const closers = [];
  const close = async () => {
    for (const closer of closers.reverse().splice(0)) await closer();
  };
  // Whatever ends the case, nothing that it started outlives it.
  const abandon = async (why) => {
    record.add(`the case could not run: ${why}`);
    await close();
    process.exit(2);
  };
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => void abandon(signal));
  for (const event of ['uncaughtException', 'unhandledRejection']) process.on(event, (error) => void abandon(error?.stack ?? error));
  record.add(`disruption: ${TROUBLE ? 'yes' : 'no (TROUBLE=0)'}`);
  let code;
  try {
    const timeLimit = new Promise((_resolve, reject) => {
      setTimeout(() => reject(new CannotRun('the time is over')), TIME_LIMIT_MS).unref();
    });
    const breaches = await Promise.race([play({ record, onEnd: (closer) => closers.push(closer) }), timeLimit]);
    for (const breach of breaches) record.add(`BREACH: ${breach}`);
    code = breaches.length > 0 ? 1 : 0;
  } catch (error) {
    record.add(`the case could not run: ${error.stack}`);
    code = 2;
  }
  await close();
  record.add(`exit code ${code}`);
  process.stdout.write(`exit code ${code}: ${['the rule held', 'the rule was broken', 'the case could not run'][code]}\n`);
  process.exit(code);
}
