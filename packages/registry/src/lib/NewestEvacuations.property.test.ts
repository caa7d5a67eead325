import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { NO_EVACUATIONS, applyOrder, type EvacuationState } from './EvacuationState';
import { NewestEvacuations } from './NewestEvacuations';

const RUNS = 1000;

const orders = fc.array(
  fc.record({ dataCentre: fc.constantFrom('a', 'b', 'c'), isEvacuated: fc.boolean() }),
  { minLength: 1, maxLength: 12 },
);

/** All states that a log of orders goes through. */
function statesOf(log: readonly { dataCentre: string; isEvacuated: boolean }[]): EvacuationState[] {
  const states = [NO_EVACUATIONS];
  for (const [at, order] of log.entries()) {
    const before = states.at(-1) as EvacuationState;
    states.push(applyOrder(before, at + 1, { ...order, basis: before.revision }).state);
  }
  return states;
}

test('no order of repeated and delayed messages brings back an older state', () => {
  const property = fc.property(
    orders,
    fc.array(fc.nat(), { minLength: 1, maxLength: 60 }),
    (log, picks) => {
      const states = statesOf(log);
      const newest = new NewestEvacuations();
      const seen: number[] = [];
      newest.onNewer = ({ revision }) => seen.push(revision);
      let expected = NO_EVACUATIONS;
      for (const pick of picks) {
        const received = states[pick % states.length] as EvacuationState;
        if (received.revision > expected.revision) expected = received;
        newest.receive(structuredClone(received));
        assert.deepEqual(newest.state, expected);
      }
      const increasing = [...new Set(seen)].sort((a, b) => a - b);
      assert.deepEqual(seen, increasing);
    },
  );
  fc.assert(property, { numRuns: RUNS, seed: 1 });
});

test('a log that is applied again on top of its own end changes nothing', () => {
  const property = fc.property(orders, (log) => {
    const states = statesOf(log);
    const last = states.at(-1) as EvacuationState;
    let state = last;
    for (const [at, order] of log.entries()) {
      const { revision: basis } = states[at] as EvacuationState;
      state = applyOrder(state, at + 1, { ...order, basis }).state;
    }
    assert.deepEqual(state, last);
  });
  fc.assert(property, { numRuns: RUNS, seed: 1 });
});
