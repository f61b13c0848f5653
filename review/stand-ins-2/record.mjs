/** The record of a run: what was sent, answered and run, with the seconds since the start. */
import { appendFileSync, writeFileSync } from 'node:fs';

export class Record {
  constructor(file) {
    this.file = file;
    this.startedAt = performance.now();
    writeFileSync(file, '');
  }

  add(text) {
    const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8);
    appendFileSync(this.file, `${seconds} ${text}\n`);
  }
}
