import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { StatedLimit, type LimitStatement } from './StatedLimit';

const NONE = Infinity;

const statement = (value: number, sentAt: number, receivedAt: number): LimitStatement => ({
  value,
  sentAt,
  receivedAt,
});

function valueAfter(statements: readonly LimitStatement[]): number {
  const limit = new StatedLimit();
  for (const item of statements) limit.merge(item);
  return limit.value;
}

test('a late response to an earlier request does not lift a limit', () => {
  assert.equal(valueAfter([statement(2, 10, 20), statement(NONE, 5, 30)]), 2);
});

test('a limit ends with a response to a request that was sent after it was stated', () => {
  assert.equal(valueAfter([statement(2, 10, 20), statement(NONE, 21, 30)]), NONE);
});

test('a limit that another instance repeats after it has ended does not return', () => {
  const old = statement(2, 10, 20);
  assert.equal(valueAfter([old, statement(NONE, 21, 30), old]), NONE);
});

test('a lower limit holds at once', () => {
  assert.equal(valueAfter([statement(4, 10, 20), statement(1, 5, 30)]), 1);
});

test('the statement that is newer than all others holds in any order of arrival', () => {
  const earlier = fc.record({
    value: fc.constantFrom(0, 1, 2, NONE),
    sentAt: fc.integer({ min: 0, max: 50 }),
    receivedAt: fc.integer({ min: 50, max: 99 }),
  });
  fc.assert(
    fc.property(fc.array(earlier), fc.constantFrom(0, 1, 2, NONE), fc.nat(), (list, value, at) => {
      const statements = [...list];
      statements.splice(at % (list.length + 1), 0, statement(value, 100, 110));
      assert.equal(valueAfter(statements), value);
    }),
    { seed: 1 },
  );
});
