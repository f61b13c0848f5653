import type { Work } from '../allocation/task-allocations.js';
import type { Context } from '../context/index.js';
import type { Job, Machine, Ms } from '../model/index.js';
import { encodeImageCache } from '../state/image-cache-record.js';
import { encodeDoneJob } from '../state/job-record.js';
import { KEY } from '../state/keys.js';
import { type ProgressPart, packBits } from '../state/progress-layout.js';
import { URGENCY } from '../state/write-queue.js';

/** A machine's images are stored this long after one has come: others may follow. */
const IMAGES_DELAY_MS = 15_000;

/** A job's completed tasks are stored this often at most, and at once when all are. */
const PROGRESS_MS = 3000;

/** Is a task of this part done that isn't stored as done? */
function hasUnstored(j: Job, part: ProgressPart): boolean {
  for (let i = part.from; i < part.to; i++) if (j.done[i] && !j.stored[i]) return true;
  return false;
}

/** What must outlive this process: completed tasks, and the images that machines have. */
export class Records {
  private readonly imagesDue: { m: Machine; at: Ms }[] = [];

  constructor(
    private readonly context: Context,
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
    while (this.imagesDue.length > 0 && (this.imagesDue[0] as { at: Ms }).at <= now && this.context.writer.length < 4) {
      const m = (this.imagesDue.shift() as { m: Machine }).m;
      if (this.work.held.has(m.share)) this.writeImagesOf(m);
      else m.cacheQueued = false;
    }
  }

  private writeImagesOf(m: Machine): void {
    const key = KEY.cache(m.name);
    this.context.writer.add({
      key,
      value: () => encodeImageCache(this.context.table.imagesOf(m)),
      guard: this.context.replica.get(key)?.stamp ?? 0,
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
      this.context.writer.add({
        key: KEY.job(j.spec.id),
        value: (at) => encodeDoneJob(j.wall, j.spec.tasks, at + this.context.table.wallOffset),
        guard: j.stamp,
        also: this.work.also(j.share),
        urgency: URGENCY.grant,
        done: (outcome) => {
          j.finishQueued = false;
          this.work.wantPlan = true;
          if (outcome === 'ok') this.logDone(j);
        },
      });
      return;
    }
    // Several completions in one write: until it is stored, the worker keeps the result.
    if (j.progressQueued || !j.progressDirty || this.work.now - j.progressAt < PROGRESS_MS) return;
    const part = this.context.table.progress.parts(j.spec.tasks).find((p) => hasUnstored(j, p));
    if (part) this.writeProgress(j, part);
    else j.progressDirty = false;
  }

  private logDone(j: Job): void {
    const seconds = (ms: Ms) => Math.round(ms / 100) / 10;
    const now = this.context.now;
    this.context.log('debug', 'job done', {
      job: j.spec.id,
      cls: j.spec.cls,
      sinceReady: seconds(now - j.arrivedAt),
      sinceSubmit: seconds(now + this.context.table.wallOffset - j.wall),
      // Against its own deadline, or the one that it has from the jobs that need it.
      spare: Number.isFinite(j.endBy) ? seconds(j.endBy - this.context.table.wallOffset - now) : null,
      guess: j.spec.estimateS,
      longestRun: seconds(j.ranS * 1000),
    });
  }

  private writeProgress(j: Job, part: ProgressPart): void {
    const key = KEY.progress(j.spec.id, part.name);
    let written = new Uint8Array(0);
    j.progressQueued = true;
    j.progressAt = this.work.now;
    this.context.writer.add({
      key,
      value: () => {
        written = j.done.slice(part.from, part.to);
        return packBits(j.done, part.from, part.to);
      },
      guard: this.context.replica.get(key)?.stamp ?? 0,
      also: this.work.also(j.share),
      urgency: URGENCY.progress,
      done: (outcome) => {
        j.progressQueued = false;
        if (outcome === 'ok') for (let i = 0; i < written.length; i++) if (written[i]) j.stored[part.from + i] = 1;
      },
    });
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
