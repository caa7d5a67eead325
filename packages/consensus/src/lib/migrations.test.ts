import assert from 'node:assert/strict';
import test from 'node:test';
import { migrate, type Migration } from './migrations';

function append(name: string, from: number, letter: string): Migration {
  return { name, kind: 'entries', from, apply: (body) => Buffer.from(`${body}${letter}`) };
}

const steps = [append('add-second', 2, 'c'), append('add-first', 1, 'b')];

test('a record passes the steps from its version on', () => {
  const body = Buffer.from('a');
  const passed = (version: number) =>
    migrate('entries', { version, body }, steps, 4)._unsafeUnwrap().toString();
  assert.equal(passed(1), 'abc');
  assert.equal(passed(2), 'ac');
  assert.equal(passed(4), 'a');
  assert.equal(migrate('state', { version: 1, body }, steps, 4)._unsafeUnwrap().toString(), 'a');
});

test('a record of a newer version is refused', () => {
  const result = migrate('entries', { version: 5, body: Buffer.from('a') }, steps, 4);
  assert.equal(result._unsafeUnwrapErr().code.name, 'versionUnknown');
});
