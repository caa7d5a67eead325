import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EventScanner } from './EventScanner';
import { UnnumberedEvents } from './UnnumberedEvents';

test('events without ids follow each other, also after a resumption', () => {
  const scanner = new EventScanner(new UnnumberedEvents());
  assert.equal(scanner.push(Buffer.from('data: a\n\ndata: b\n\nda')).bytes.length, 18);
  scanner.resume();
  assert.equal(scanner.push(Buffer.from('data: c\n\n')).bytes.toString(), 'data: c\n\n');
  assert.deepEqual(
    [scanner.eventCount, scanner.lastId, scanner.problem],
    [3, undefined, undefined],
  );
});

test('an event with an id ends a stream of events without ids', () => {
  const scanner = new EventScanner(new UnnumberedEvents());
  assert.equal(scanner.push(Buffer.from('id: 1\ndata: a\n\n')).bytes.length, 0);
  assert.equal(scanner.problem, 'an id');
});
