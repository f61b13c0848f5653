// The Moore-Hodgson rule, which selects the large arrays to postpone.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { attainableDeadlines, type DeadlineJob } from '../packages/controller/src/scheduling/moore-hodgson.js';
import { Random } from './randomized/random.js';

const NOW = 1000;

/** Reports whether all jobs that keep a deadline meet it when they run one after another, the earliest deadline first. */
function allMet(jobs: readonly DeadlineJob[], deadlines: readonly (number | null)[]): boolean {
  const kept = jobs.flatMap(({ durationMs }, index) => {
    const deadline = deadlines[index] ?? null;
    return deadline === null ? [] : [{ durationMs, deadline }];
  });
  kept.sort((a, b) => a.deadline - b.deadline);
  let endsAt = NOW;
  return kept.every(({ durationMs, deadline }) => {
    endsAt += durationMs;
    return endsAt <= deadline;
  });
}

/** The largest number of jobs with one deadline each that can all meet it, found by trying all choices. */
function maxDeadlinesMet(jobs: readonly DeadlineJob[]): number {
  let maxMet = 0;
  for (let choice = 0; choice < 2 ** jobs.length; choice++) {
    const deadlines = jobs.map((job, index) => (choice & (1 << index) ? (job.deadlines[0] as number) : null));
    if (allMet(jobs, deadlines)) maxMet = Math.max(maxMet, deadlines.filter((deadline) => deadline !== null).length);
  }
  return maxMet;
}

function randomJobs(random: Random, maxDeadlines: number): DeadlineJob[] {
  return Array.from({ length: 1 + random.below(7) }, () => ({
    deadlines: Array.from({ length: 1 + random.below(maxDeadlines) }, () => NOW + random.below(400)).sort((a, b) => a - b),
    durationMs: 1 + random.below(150),
  }));
}

test('of jobs with one deadline each, as many meet it as with the best choice of jobs', () => {
  const random = new Random(1);
  for (let round = 0; round < 300; round++) {
    const jobs = randomJobs(random, 1);
    const deadlines = attainableDeadlines(jobs, NOW);
    assert.ok(allMet(jobs, deadlines), JSON.stringify(jobs));
    assert.equal(deadlines.filter((deadline) => deadline !== null).length, maxDeadlinesMet(jobs), JSON.stringify(jobs));
  }
});

test('of jobs with several deadlines each, all that keep one of them meet it', () => {
  const random = new Random(2);
  for (let round = 0; round < 300; round++) {
    const jobs = randomJobs(random, 3);
    const deadlines = attainableDeadlines(jobs, NOW);
    assert.ok(allMet(jobs, deadlines), JSON.stringify(jobs));
    for (const [index, deadline] of deadlines.entries())
      assert.ok(deadline === null || jobs[index]?.deadlines.includes(deadline), "the deadline is one of the job's");
  }
});

test('the longest job is postponed to its next deadline; of equally long jobs, the one that is due first', () => {
  const short = { deadlines: [NOW + 100], durationMs: 60 };
  const long = { deadlines: [NOW + 90, NOW + 500], durationMs: 80 };
  assert.deepEqual(attainableDeadlines([short, long], NOW), [NOW + 100, NOW + 500]);
  const equal = { deadlines: [NOW + 95], durationMs: 60 };
  assert.deepEqual(attainableDeadlines([short, equal], NOW), [NOW + 100, null]);
});

test('a job that has no deadline, or can meet none, gets none and does not keep other jobs from meeting theirs', () => {
  const withoutDeadlines = { deadlines: [], durationMs: 1e6 };
  const tooLong = { deadlines: [NOW + 10, NOW + 20], durationMs: 50 };
  const feasible = { deadlines: [NOW + 30], durationMs: 30 };
  assert.deepEqual(attainableDeadlines([withoutDeadlines, tooLong, feasible], NOW), [null, null, NOW + 30]);
});
