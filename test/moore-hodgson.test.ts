// Moore and Hodgson's rule, by which large arrays are put off.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { attainableDeadlines, type DeadlineJob } from '../packages/controller/src/scheduling/moore-hodgson.js';
import { Random } from './randomized/random.js';

const NOW = 1000;

/** Do all jobs that kept a deadline meet it, each run by rising deadline? */
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

/** The most jobs with one deadline each that can be met together, by trying all choices. */
function mostThatCanBeMet(jobs: readonly DeadlineJob[]): number {
  let most = 0;
  for (let choice = 0; choice < 2 ** jobs.length; choice++) {
    const deadlines = jobs.map((job, index) => (choice & (1 << index) ? (job.deadlines[0] as number) : null));
    if (allMet(jobs, deadlines)) most = Math.max(most, deadlines.filter((deadline) => deadline !== null).length);
  }
  return most;
}

function randomJobs(random: Random, maxDeadlines: number): DeadlineJob[] {
  return Array.from({ length: 1 + random.below(7) }, () => ({
    deadlines: Array.from({ length: 1 + random.below(maxDeadlines) }, () => NOW + random.below(400)).sort((a, b) => a - b),
    durationMs: 1 + random.below(150),
  }));
}

test('as many jobs with one deadline are on time as any choice allows', () => {
  const random = new Random(1);
  for (let round = 0; round < 300; round++) {
    const jobs = randomJobs(random, 1);
    const deadlines = attainableDeadlines(jobs, NOW);
    assert.ok(allMet(jobs, deadlines), JSON.stringify(jobs));
    assert.equal(deadlines.filter((deadline) => deadline !== null).length, mostThatCanBeMet(jobs), JSON.stringify(jobs));
  }
});

test('whatever deadline a job keeps of several, all that keep one meet it', () => {
  const random = new Random(2);
  for (let round = 0; round < 300; round++) {
    const jobs = randomJobs(random, 3);
    const deadlines = attainableDeadlines(jobs, NOW);
    assert.ok(allMet(jobs, deadlines), JSON.stringify(jobs));
    for (const [index, deadline] of deadlines.entries())
      assert.ok(deadline === null || jobs[index]?.deadlines.includes(deadline), 'the deadline is one of the job');
  }
});

test('the longest job is put off to its next deadline, of equally long ones the one that is due first', () => {
  const short = { deadlines: [NOW + 100], durationMs: 60 };
  const long = { deadlines: [NOW + 90, NOW + 500], durationMs: 80 };
  assert.deepEqual(attainableDeadlines([short, long], NOW), [NOW + 100, NOW + 500]);
  const equal = { deadlines: [NOW + 95], durationMs: 60 };
  assert.deepEqual(attainableDeadlines([short, equal], NOW), [NOW + 100, null]);
});

test('a job without deadlines, or that can meet none, has none and keeps no other from its own', () => {
  const never = { deadlines: [], durationMs: 1e6 };
  const tooLong = { deadlines: [NOW + 10, NOW + 20], durationMs: 50 };
  const fine = { deadlines: [NOW + 30], durationMs: 30 };
  assert.deepEqual(attainableDeadlines([never, tooLong, fine], NOW), [null, null, NOW + 30]);
});
