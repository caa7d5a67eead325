import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { createAttempt, createClass, createConfiguration } from '../../fixtures';
import type { QueuedAttempt } from '../Job';
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

test('preempts lower-tier work for a higher tier, and resumes it', () => {
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

test('a full queue rejects the lowest tier first', () => {
  const queue = createQueue(1, 1);
  const attempts = [1, 3, 2].map((tier) => createAttempt({ tier }));
  for (const attempt of attempts) queue.offer(attempt, 0);
  const rejectedAttempts = queue.decide(0).filter(({ type }) => type === 'refuse');
  assert.deepEqual(
    rejectedAttempts.map(({ attempt }) => attempt),
    [attempts[1]?.attempt],
  );
});

test('a waiting attempt that is withdrawn never runs', () => {
  const queue = createQueue(1);
  const attempt = createAttempt();
  queue.offer(attempt, 0);
  assert.equal(queue.withdraw(attempt.attempt), true);
  assert.deepEqual(queue.decide(0), []);
  assert.equal(queue.withdraw(attempt.attempt), false);
});

test('a class below its minimum share starts before higher tiers', () => {
  const queue = createQueue(1, 100);
  const classes = { chat: createClass(), letter: createClass({ minimumShare: 0.2 }) };
  queue.configure(createConfiguration({ classes }));
  const letter = createAttempt({ class: 'letter', tier: 5 });
  queue.offer(letter, 0);
  for (let i = 0; i < 20; i += 1) queue.offer(createAttempt({ tier: 1 }), 0);
  let startedBefore = 0;
  for (;;) {
    const [decision] = queue.decide(1);
    assert.ok(decision);
    if (decision.attempt === letter.attempt) break;
    startedBefore += 1;
    queue.ended(decision.attempt);
  }
  assert.equal(startedBefore, 5);
});

const MAX_PREEMPTIONS = 3;

/** Applies random events and checks each decision against plain lists of the attempts. */
function checkHistory(steps: readonly (readonly [number, number])[]): void {
  const queue = createQueue(2, 3);
  const waiting = new Map<string, QueuedAttempt>();
  const suspended = new Map<string, QueuedAttempt>();
  const running = new Map<string, QueuedAttempt>();
  const preemptions = new Map<string, number>();
  let now = 0;
  for (const [kind, tier] of steps) {
    now += 15;
    const [first] = running.values();
    if (kind < 2) {
      const attempt = createAttempt({ tier });
      waiting.set(attempt.attempt, attempt);
      queue.offer(attempt, now);
    } else if (first) {
      queue.ended(first.attempt);
      running.delete(first.attempt);
    }
    for (const decision of queue.decide(now)) {
      const id = decision.attempt;
      if (decision.type === 'start') {
        running.set(id, (waiting.get(id) ?? suspended.get(id)) as QueuedAttempt);
        assert.equal(decision.isResumed, suspended.has(id));
        waiting.delete(id);
        suspended.delete(id);
      } else if (decision.type === 'refuse') {
        const rejected = waiting.get(id) as QueuedAttempt;
        waiting.delete(id);
        assert.ok([...waiting.values()].every((other) => other.tier <= rejected.tier));
      } else {
        const victim = running.get(id) as QueuedAttempt;
        const others = [...waiting.values(), ...suspended.values()];
        assert.ok(others.some((other) => other.tier < victim.tier));
        preemptions.set(id, (preemptions.get(id) ?? 0) + 1);
        assert.ok((preemptions.get(id) ?? 0) <= MAX_PREEMPTIONS);
        running.delete(id);
        suspended.set(id, victim);
        queue.preempted(id, now);
      }
      assert.ok(running.size <= 2);
    }
    assert.ok(waiting.size <= 3);
  }
}

test('never rejects or preempts a higher tier for a lower one, for any sequence of events', () => {
  const step = fc.tuple(fc.integer({ min: 0, max: 2 }), fc.integer({ min: 1, max: 4 }));
  fc.assert(fc.property(fc.array(step, { maxLength: 80 }), checkHistory), { seed: 1 });
});
