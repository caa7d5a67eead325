import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { InFlightWork } from './InFlightWork';
import type { EndpointWork } from './MeshMessage';

test('each source gets the sum of all others, by endpoint and rank', () => {
  const inFlight = new InFlightWork<string>();
  inFlight.set('a', [['e-1', [5, 0, 100], 2]]);
  inFlight.set('b', [['e-1', [1], 1]]);
  inFlight.set('c', [['e-2', [0, 7], 1]]);
  assert.deepEqual(inFlight.sumExcluding('c'), [['e-1', [6, 0, 100], 3]]);
  assert.deepEqual(inFlight.sumExcluding('a'), [
    ['e-1', [1, 0, 0], 1],
    ['e-2', [0, 7], 1],
  ]);
  inFlight.delete('b');
  assert.deepEqual(inFlight.sumExcluding('a'), [['e-2', [0, 7], 1]]);
});

const workArbitrary = fc.uniqueArray(
  fc.tuple(
    fc.constantFrom('e-1', 'e-2', 'e-3', 'e-4'),
    fc.array(fc.nat(1000), { maxLength: 4 }),
    fc.nat(9),
  ),
  { selector: ([endpoint]) => endpoint },
);

/** Requests and tokens of all ranks by endpoint, without those that have none. */
function totals(work: Iterable<EndpointWork>): Map<string, [number, number]> {
  const result = new Map<string, [number, number]>();
  for (const [endpoint, tokens, requests] of work) {
    const [sumRequests, sumTokens] = result.get(endpoint) ?? [0, 0];
    const all = tokens.reduce((sum, count) => sum + count, sumTokens);
    if (sumRequests + requests + all > 0) result.set(endpoint, [sumRequests + requests, all]);
  }
  return new Map([...result].sort(([a], [b]) => a.localeCompare(b)));
}

test('the kept sums equal those of the latest reports, whatever was reported before', () => {
  const reports = fc.array(fc.tuple(fc.nat(5), fc.option(workArbitrary)), { maxLength: 40 });
  fc.assert(
    fc.property(reports, fc.nat(5), (sequence, excluded) => {
      const inFlight = new InFlightWork<number>();
      const latest = new Map<number, EndpointWork[]>();
      for (const [source, work] of sequence) {
        if (work) {
          inFlight.set(source, work);
          latest.set(source, work);
        } else {
          inFlight.delete(source);
          latest.delete(source);
        }
      }
      latest.delete(excluded);
      const expected = totals([...latest.values()].flat());
      assert.deepEqual(totals(inFlight.sumExcluding(excluded)), expected);
    }),
    { seed: 20261205, numRuns: 300 },
  );
});
