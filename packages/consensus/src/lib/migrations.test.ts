import assert from 'node:assert/strict';
import test from 'node:test';
import { migrate, type Migration } from './migrations';

function appendLetter(name: string, from: number, letter: string): Migration {
  return { name, kind: 'entries', from, apply: (body) => Buffer.from(`${body}${letter}`) };
}

const steps = [appendLetter('add-second', 2, 'c'), appendLetter('add-first', 1, 'b')];

test('a record passes all migrations from its version on', () => {
  const body = Buffer.from('a');
  const migrated = (version: number) =>
    migrate('entries', { version, body }, steps, 4)._unsafeUnwrap().toString();
  assert.equal(migrated(1), 'abc');
  assert.equal(migrated(2), 'ac');
  assert.equal(migrated(4), 'a');
  assert.equal(migrate('state', { version: 1, body }, steps, 4)._unsafeUnwrap().toString(), 'a');
});

test('a record of a newer version is rejected', () => {
  const result = migrate('entries', { version: 5, body: Buffer.from('a') }, steps, 4);
  assert.equal(result._unsafeUnwrapErr().code.name, 'versionUnknown');
});
