import assert from 'node:assert/strict';
import test from 'node:test';
import { asId } from '@berylwood/base';
import { FairScheduler } from './FairScheduler';
import type { Decision } from './Job';
import {
  createCandidates,
  createClass,
  createConfiguration,
  createJob,
  createLoad,
} from '../fixtures';

function createScheduler(endpoints = 1, slots = 1): FairScheduler {
  const scheduler = new FairScheduler();
  scheduler.configure(createConfiguration());
  scheduler.setCandidates(createCandidates(endpoints, { slots }), 0);
  return scheduler;
}

const requestsOf = (decisions: readonly Decision[], type: Decision['type']) =>
  decisions.filter((decision) => decision.type === type).map(({ request }) => request);

test('sends the higher tier first and holds what has no room', () => {
  const scheduler = createScheduler();
  const low = createJob({ tier: 3 });
  const high = createJob({ tier: 1 });
  scheduler.offer(low, 0);
  scheduler.offer(high, 0);
  assert.deepEqual(requestsOf(scheduler.decide(0), 'dispatch'), [high.request]);
  assert.deepEqual([...scheduler.waitingByTier()], [[3, 1]]);
  scheduler.ended({ request: high.request, outcome: 'completed', answerTokens: 10 }, 10);
  assert.deepEqual(requestsOf(scheduler.decide(10), 'dispatch'), [low.request]);
});

test('sends an urgent request to a full endpoint that runs lower work', () => {
  const scheduler = createScheduler();
  scheduler.reported({
    endpoint: asId('e1'),
    load: createLoad({ slots: 1, running: 1, credits: 0, runningTier: 5 }),
    at: 0,
  });
  const job = createJob({ tier: 1, targetAt: 1_000 });
  scheduler.offer(job, 0);
  assert.deepEqual(scheduler.decide(0), []);
  const at = scheduler.nextAt(0) as number;
  assert.ok(at <= 550);
  const [decision] = scheduler.decide(600);
  assert.deepEqual(decision, {
    type: 'dispatch',
    request: job.request,
    endpoint: asId('e1'),
    isUrgent: true,
  });
});

test('a late request gives way to one that can still meet its target', () => {
  const scheduler = createScheduler();
  const late = createJob({ targetAt: 100 });
  const inTime = createJob({ arrivedAt: 500, targetAt: 5_000, workspace: asId('beta') });
  scheduler.offer(late, 0);
  scheduler.offer(inTime, 500);
  assert.deepEqual(requestsOf(scheduler.decide(500), 'dispatch'), [inTime.request]);
});

test('at the end of the longest wait the lowest tier is refused', () => {
  const scheduler = createScheduler();
  const running = createJob({ tier: 1 });
  scheduler.offer(running, 0);
  scheduler.decide(0);
  const waiting = createJob({ tier: 1, expiresAt: 1_000 });
  scheduler.offer(waiting, 0);
  scheduler.reported({
    endpoint: asId('e1'),
    load: createLoad({ slots: 1, running: 1, credits: 0, runningTier: 1 }),
    at: 500,
  });
  assert.deepEqual(scheduler.decide(999), []);
  const [decision] = scheduler.decide(1_000);
  assert.equal(decision?.type, 'refuse');
  assert.equal(decision?.request, waiting.request);
});

test('refuses without any endpoint once the target time has passed', () => {
  const scheduler = new FairScheduler();
  const job = createJob({ targetAt: 1_000 });
  scheduler.offer(job, 0);
  assert.deepEqual(scheduler.decide(0), []);
  assert.deepEqual(requestsOf(scheduler.decide(1_001), 'refuse'), [job.request]);
});

test('a class below its minimum share goes before higher tiers', () => {
  const scheduler = new FairScheduler();
  const classes = { chat: createClass(), letter: createClass({ minimumShare: 0.1 }) };
  scheduler.configure(createConfiguration({ classes }));
  scheduler.setCandidates(createCandidates(1, { slots: 1 }), 0);
  const letter = createJob({ class: 'letter', tier: 5 });
  scheduler.offer(letter, 0);
  for (let i = 0; i < 30; i += 1) scheduler.offer(createJob({ tier: 1 }), 0);
  let sentBefore = 0;
  for (let now = 0; now < 1_500; now += 50) {
    const [request] = requestsOf(scheduler.decide(now), 'dispatch');
    assert.ok(request);
    if (request === letter.request) break;
    sentBefore += 1;
    scheduler.ended({ request, outcome: 'completed', answerTokens: 100 }, now + 1);
  }
  assert.equal(sentBefore, 10);
});
