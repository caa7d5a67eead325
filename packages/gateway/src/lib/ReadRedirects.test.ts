import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random } from '@berylwood/base';
import fc from 'fast-check';
import { ReadRedirects } from './ReadRedirects';

const SLOW_MBPS = 7;

/** Size whose sending takes a second at the slow rate. */
const LARGE_BYTES = (SLOW_MBPS * 1_000_000) / 8;

function find(bytes: number, linkMbps: number | undefined, otherMbps: readonly number[]) {
  const listeners = otherMbps.map((mbps, at) => ({ address: `10.0.0.${at}:1`, linkMbps: mbps }));
  const [fastest] = [...listeners].sort((a, b) => b.linkMbps - a.linkMbps);
  const random = new Random(1);
  return new ReadRedirects({ linkMbps, listeners: { pickFastest: () => fastest }, random }).find(
    bytes,
  );
}

test('a response that takes long on a slow link is left to an instance on a faster one', () => {
  assert.equal(find(LARGE_BYTES, SLOW_MBPS, [70])?.linkMbps, 70);
});

test('a response that a slow link sends soon stays where it was asked for', () => {
  assert.equal(find(LARGE_BYTES / 4, SLOW_MBPS, [70]), undefined);
});

test('an instance that knows no rate or no faster link sends the response itself', () => {
  assert.equal(find(LARGE_BYTES, undefined, [70]), undefined);
  assert.equal(find(LARGE_BYTES, SLOW_MBPS, []), undefined);
  assert.equal(find(LARGE_BYTES, SLOW_MBPS, [SLOW_MBPS, 10]), undefined);
});

test('redirects end at the fastest link after at most two', () => {
  const rates = fc.array(fc.integer({ min: 1, max: 1000 }), { minLength: 1, maxLength: 8 });
  fc.assert(
    fc.property(rates, fc.integer({ min: 1, max: 100_000_000 }), (links, bytes) => {
      let rate = links[0] as number;
      let redirects = 0;
      for (let next = find(bytes, rate, links); next; next = find(bytes, rate, links)) {
        rate = next.linkMbps;
        redirects += 1;
        assert.ok(redirects <= 2);
      }
    }),
    { seed: 57 },
  );
});
