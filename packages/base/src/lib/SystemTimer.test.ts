import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { SystemTimer } from './SystemTimer';

// Guards against a long delay that overflows the timers of Node.js and ends at once.
test('a delay of more than 24 days does not end early', async () => {
  const timer = new SystemTimer();
  const delays = fc.oneof(
    fc.integer({ min: 2 ** 31 - 1 }),
    fc.double({ min: 2 ** 31, noNaN: true }),
  );
  const ended: number[] = [];
  const pending = fc.sample(delays, { numRuns: 200, seed: 1 }).map((delayMs) =>
    timer.after(delayMs, () => {
      ended.push(delayMs);
    }),
  );
  await timer.sleep(20);
  pending.forEach((item) => item[Symbol.dispose]());
  assert.deepEqual(ended, []);
});
