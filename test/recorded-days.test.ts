// Every change that controllers store and every message that they send one another on simulated days is the same byte for
// byte as recorded. Nothing here depends on the text of a log line or of an error.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { days, played } from './recorded-support/played-days.js';
import { CHANGES, MESSAGES } from './recorded-support/record-kinds.js';
import { assertAsRecorded } from './recorded-support/recorded-data.js';

for (const [name, day] of Object.entries(played)) {
  const file = `day-${name.replaceAll(' ', '-')}`;
  test(`${name}: every stored change and every message is as recorded, and the rows are read alike`, () => {
    assertAsRecorded(file, day, 4);
  });
}

test('the recorded days have changes of every kind, and messages of every kind', () => {
  const changes = new Set(days.flatMap((day) => Object.keys(day.changes.examples)));
  for (const kind of CHANGES) assert.ok(changes.has(kind), `no change of kind ${kind} among ${[...changes].join('; ')}`);
  const messages = [...new Set(days.flatMap((day) => Object.keys(day.messages.examples)))];
  for (const kind of MESSAGES)
    assert.ok(
      messages.some((known) => kind.test(known)),
      `no message ${kind} among ${messages.join('; ')}`,
    );
});
