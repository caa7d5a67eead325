import assert from 'node:assert/strict';
import test from 'node:test';
import { createAttempt } from '../../fixtures';
import { FairLocalQueue } from './FairLocalQueue';

const createQueue = (slots: number, capacity = 8) => new FairLocalQueue({ slots, capacity });

test('starts the higher tier first', () => {
  const queue = createQueue(1);
  const low = createAttempt({ tier: 4 });
  const high = createAttempt({ tier: 1 });
  queue.offer(low, 0);
  queue.offer(high, 0);
  assert.deepEqual(queue.decide(0), [{ type: 'start', attempt: high.attempt, isResumed: false }]);
  const { running, waiting, waitingTier, runningTier, credits } = queue.load();
  assert.deepEqual([running, waiting, waitingTier, runningTier, credits], [1, 1, 4, 1, 0]);
});

test('preempts lower work for higher work, and resumes it', () => {
  const queue = createQueue(1);
  const low = createAttempt({ tier: 4 });
  const high = createAttempt({ tier: 1 });
  queue.offer(low, 0);
  queue.decide(0);
  queue.offer(high, 100);
  assert.deepEqual(queue.decide(100), []);
  assert.equal(queue.nextAt(100), 120);
  assert.deepEqual(queue.decide(120), [{ type: 'preempt', attempt: low.attempt }]);
  assert.deepEqual(queue.decide(130), []);
  queue.preempted(low.attempt, 140);
  assert.deepEqual(queue.decide(140), [{ type: 'start', attempt: high.attempt, isResumed: false }]);
  queue.ended(high.attempt);
  assert.deepEqual(queue.decide(200), [{ type: 'start', attempt: low.attempt, isResumed: true }]);
});

test('never preempts work of the same or a higher tier', () => {
  const queue = createQueue(1);
  queue.offer(createAttempt({ tier: 2 }), 0);
  queue.decide(0);
  queue.offer(createAttempt({ tier: 2 }), 0);
  queue.offer(createAttempt({ tier: 3 }), 0);
  assert.deepEqual(queue.decide(1_000), []);
});

test('a full queue refuses the lowest tier first', () => {
  const queue = createQueue(1, 1);
  const attempts = [1, 3, 2].map((tier) => createAttempt({ tier }));
  for (const attempt of attempts) queue.offer(attempt, 0);
  const refused = queue.decide(0).filter(({ type }) => type === 'refuse');
  assert.deepEqual(
    refused.map(({ attempt }) => attempt),
    [attempts[1]?.attempt],
  );
});

test('a withdrawn attempt that waits never runs', () => {
  const queue = createQueue(1);
  const attempt = createAttempt();
  queue.offer(attempt, 0);
  assert.equal(queue.withdraw(attempt.attempt), true);
  assert.deepEqual(queue.decide(0), []);
  assert.equal(queue.withdraw(attempt.attempt), false);
});
