import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSilentJournal } from './Journal';
import type { LogEvent } from './LogEvent';
import { VirtualTimer } from './VirtualTimer';

const event: LogEvent = {
  number: 1,
  name: 'tested',
  level: 'info',
  meaning: 'A test has recorded something.',
  action: 'none',
};

// Guards against records that hold as much memory as callers put into their ids and paths.
test('long texts of fields are cut, and others are kept', () => {
  const journal = createSilentJournal(new VirtualTimer());
  journal.record(event, { request: 'x'.repeat(16_000), path: '/short', bytes: 16_000 });
  const { fields = {} } = journal.recent().at(0) ?? {};
  assert.equal(String((fields as { request?: unknown }).request).length, 513);
  assert.deepEqual({ ...fields, request: '' }, { request: '', path: '/short', bytes: 16_000 });
});
