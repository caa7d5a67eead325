import assert from 'node:assert/strict';
import test from 'node:test';
import { asId } from '@berylwood/base';
import { createCandidates, createJob, createLoad } from '../fixtures';
import { LeastLoadScheduler } from './LeastLoadScheduler';

test('dispatches the highest tier first, to the endpoint with the least reported load', () => {
  const scheduler = new LeastLoadScheduler();
  scheduler.setCandidates(createCandidates(2, { slots: 1 }));
  scheduler.loadReported({ endpoint: asId('e1'), load: createLoad({ running: 2 }), at: 0 });
  const [low, high, lowest] = [2, 1, 3].map((tier) => createJob({ tier }));
  for (const job of [low, high, lowest]) if (job) scheduler.offer(job);
  assert.deepEqual(scheduler.decide(0), [
    { type: 'dispatch', request: high?.request, endpoint: 'e2' },
    { type: 'dispatch', request: low?.request, endpoint: 'e1' },
  ]);
  assert.deepEqual([...scheduler.waitingByTier()], [[3, 1]]);
  const [rejection] = scheduler.decide(60_000);
  assert.equal(rejection?.type, 'refuse');
});
