import type { Context } from './context.js';
import type { Job, Machine, Ms } from './model.js';
import { KEY, packBits } from './table.js';
import type { Work } from './work.js';
import { URGENCY } from './writer.js';

/** A machine's images are stored this long after one has come: others may follow. */
const IMAGES_DELAY_MS = 15_000;

/** A job's completed tasks are stored this often at most, and at once when all are. */
const PROGRESS_MS = 3000;

/** What must outlive this process: completed tasks, and the images that machines have. */
export class Records {
  private readonly imagesDue: { m: Machine; at: Ms }[] = [];

  constructor(
    private readonly cx: Context,
    private readonly work: Work,
  ) {}

  /** A restart would forget what the machines have at hand, and fetches can take a minute. */
  storeImages(m: Machine): void {
    if (m.cacheQueued) return;
    m.cacheQueued = true;
    this.imagesDue.push({ m, at: this.work.now + IMAGES_DELAY_MS });
  }

  /** Several images of a machine in one write, and none while more urgent writes wait. */
  writeImages(now: Ms): void {
    while (this.imagesDue.length > 0 && (this.imagesDue[0] as { at: Ms }).at <= now && this.cx.writer.length < 4) {
      const m = (this.imagesDue.shift() as { m: Machine }).m;
      if (this.work.held.has(m.share)) this.writeImagesOf(m);
      else m.cacheQueued = false;
    }
  }

  private writeImagesOf(m: Machine): void {
    const key = KEY.cache(m.name);
    this.cx.writer.add({
      key,
      value: () => this.cx.table.imagesOf(m),
      guard: this.cx.replica.get(key)?.stamp ?? 0,
      urgency: URGENCY.images,
      until: this.work.now + 5_000,
      done: () => {
        m.cacheQueued = false;
      },
    });
  }

  storeProgress(j: Job): void {
    const held = this.work.held.get(j.share);
    if (!held || j.state !== 'live') return;
    if (j.doneCount === j.spec.tasks && j.spec.shape !== 'service') {
      if (j.finishQueued) return;
      j.finishQueued = true;
      this.cx.writer.add({
        key: KEY.job(j.spec.id),
        value: () => ({ s: 1, t: j.wall, n: j.spec.tasks }),
        guard: j.stamp,
        also: this.work.also(j.share),
        urgency: URGENCY.grant,
        done: () => {
          j.finishQueued = false;
          this.work.wantPlan = true;
        },
      });
      return;
    }
    // Several completions in one write: until it is stored, the worker keeps the result.
    if (j.progressQueued || !j.progressDirty || this.work.now - j.progressAt < PROGRESS_MS) return;
    const size = this.cx.table.chunk;
    for (let k = 0; k * size < j.spec.tasks; k++) {
      const to = Math.min(j.spec.tasks, (k + 1) * size);
      let fresh = false;
      for (let i = k * size; i < to && !fresh; i++) fresh = j.done[i] === 1 && j.stored[i] === 0;
      if (!fresh) continue;
      const key = KEY.progress(j.spec.id, k);
      let snap = new Uint8Array(0);
      j.progressQueued = true;
      j.progressAt = this.work.now;
      this.cx.writer.add({
        key,
        value: () => {
          snap = j.done.slice(k * size, to);
          return packBits(j.done, k * size, to);
        },
        guard: this.cx.replica.get(key)?.stamp ?? 0,
        also: this.work.also(j.share),
        urgency: URGENCY.progress,
        done: (o) => {
          j.progressQueued = false;
          if (o === 'ok') for (let i = 0; i < snap.length; i++) if (snap[i]) j.stored[k * size + i] = 1;
        },
      });
      return;
    }
    j.progressDirty = false;
  }

  markDone(j: Job, index: number): void {
    if (!j.done[index]) {
      j.done[index] = 1;
      j.doneCount++;
    }
    j.progressDirty = true;
    // A gang completes together: if one task is done, all are.
    if (j.spec.shape === 'gang') {
      j.done.fill(1);
      j.doneCount = j.spec.tasks;
    }
    this.storeProgress(j);
  }
}
