import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Incarnation } from './ids';
import { MemberContacts } from './MemberContacts';

const A = 'a-1' as Incarnation;
const B = 'b-1' as Incarnation;

test('the latest contact counts, in whatever order contacts are recorded', () => {
  const contacts = new MemberContacts();
  contacts.record(A, 200);
  contacts.record(A, 100);
  assert.equal(contacts.lastAt(A), 200);
  assert.equal(contacts.lastAt(B), -Infinity);
});

test('a report names the silence of members and forgets all others', () => {
  const contacts = new MemberContacts();
  contacts.record(A, 200);
  contacts.record(B, 300);
  assert.deepEqual(contacts.report([B], 1000), [{ incarnation: B, silenceMs: 700 }]);
  assert.equal(contacts.lastAt(A), -Infinity);
});
