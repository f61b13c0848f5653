// The changes that controllers store and the messages that they send one another on simulated days are byte for byte as
// recorded. Nothing here depends on the text of a log line or of an error.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CHANGE_KINDS, MESSAGE_KINDS } from './recorded-support/record-kinds.js';
import { assertAsRecorded } from './recorded-support/recorded-data.js';
import { days, daysByName } from './recorded-support/recorded-days.js';

for (const [name, day] of Object.entries(daysByName)) {
  const file = `day-${name.replaceAll(' ', '-')}`;
  test(`${name}: every stored change and every message is as recorded, and the rows are read as recorded`, () => {
    assertAsRecorded(file, day, 4);
  });
}

test('the recorded days have changes of every kind, and messages of every kind', () => {
  const changes = new Set(days.flatMap((day) => Object.keys(day.changes.examples)));
  for (const kind of CHANGE_KINDS) assert.ok(changes.has(kind), `no change of kind ${kind} among ${[...changes].join('; ')}`);
  const messages = [...new Set(days.flatMap((day) => Object.keys(day.messages.examples)))];
  for (const kind of MESSAGE_KINDS)
    assert.ok(
      messages.some((message) => kind.test(message)),
      `no message ${kind} among ${messages.join('; ')}`,
    );
});
