import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeDataCentre } from './decodeDataCentre';

const nameOf = (segment: string): string | undefined =>
  decodeDataCentre(segment).unwrapOr(undefined as unknown as string);

test('a name is decoded, and its length counts in characters after the decoding', () => {
  assert.equal(nameOf('zone-a'), 'zone-a');
  assert.equal(nameOf('a%2Fb%20c'), 'a/b c');
  assert.equal(nameOf('%C3%A4'.repeat(128)), 'ä'.repeat(128));
  assert.equal(nameOf('%C3%A4'.repeat(129)), undefined);
  assert.equal(nameOf('z'.repeat(129)), undefined);
});

test('an empty, wrongly encoded or unencoded name is refused, so that no other zone is evacuated', () => {
  const segments = ['', '%', '%zz', '%C3', 'a/b', 'a b', 'ä', 'a\u0001'];
  for (const segment of segments) {
    assert.equal(decodeDataCentre(segment)._unsafeUnwrapErr().code.name, 'dataCentreInvalid');
  }
});
