import assert from 'node:assert/strict';
import test from 'node:test';
import { asId } from '@berylwood/base';
import type { EndpointId } from '@berylwood/schema';
import { createCandidate, createCandidates, createJob, createLoad } from '../../fixtures';
import type { Job } from '../Job';
import { Router, type RouterOptions } from './Router';

const blocks = Array.from({ length: 16 }, (_, i) => `block-${i}`);

function createRouter(endpoints: number, slots = 8, options: RouterOptions = {}): Router {
  const router = new Router(options);
  router.setCandidates(createCandidates(endpoints, { slots }), 0);
  return router;
}

function send(router: Router, job: Job, now = 0): EndpointId | undefined {
  const endpoint = router.select(job, now);
  if (endpoint) router.sent(job, endpoint, false, now);
  return endpoint;
}

test('prefers the endpoint with the cached prefix until its load is too high', () => {
  const router = createRouter(8);
  const fields = { blocks, promptTokens: 4_000 };
  const first = send(router, createJob(fields));
  assert.equal(send(router, createJob(fields)), first);
  const others = Array.from({ length: 30 }, () => send(router, createJob(fields)));
  assert.ok(others.some((endpoint) => endpoint !== first));
});

test('entries choose the same preferred endpoint for a prefix without communicating', () => {
  const job = createJob({ blocks, promptTokens: 4_000 });
  const preferred = [1, 2, 3].map((seed) => createRouter(20, 8, { seed }).select(job, 0));
  assert.equal(new Set(preferred).size, 1);
});

test('spreads load without herding on the least loaded endpoint', () => {
  const router = createRouter(10, 8);
  const counts = new Map<EndpointId | undefined, number>();
  for (let i = 0; i < 40; i += 1) {
    const endpoint = send(router, createJob());
    counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
  }
  assert.equal(counts.has(undefined), false);
  assert.ok(Math.max(...counts.values()) <= 7, `${[...counts.values()]}`);
});

test('counts requests sent since the last report and selects no endpoint when all slots are used', () => {
  const router = createRouter(1, 2);
  router.reported({ endpoint: asId('e1'), load: createLoad({ credits: 1, running: 1 }), at: 100 });
  assert.equal(send(router, createJob(), 100), 'e1');
  assert.equal(send(router, createJob(), 100), undefined);
});

test('prefers endpoints in its own data centre', () => {
  const router = new Router({ dataCentre: asId('dc2') });
  const local = createCandidate({ endpoint: asId('near'), dataCentre: asId('dc2'), slots: 8 });
  router.setCandidates([...createCandidates(4, { slots: 8 }), local], 0);
  assert.equal(send(router, createJob()), 'near');
});

test('respects the avoid list and never sends two suspects to the same endpoint', () => {
  const router = createRouter(2);
  const avoid: EndpointId[] = [asId('e1')];
  for (let i = 0; i < 5; i += 1) assert.equal(router.select(createJob({ avoid }), 0), 'e2');
  const first = send(router, createJob({ isSuspect: true }));
  const second = send(router, createJob({ isSuspect: true }));
  assert.notEqual(first, second);
  assert.equal(send(router, createJob({ isSuspect: true })), undefined);
});

test('ejects a slow endpoint, probes it and returns it to service', () => {
  const router = createRouter(5, 100);
  const observe = (slowCost: number, now: number) => {
    for (let i = 0; i < 10; i += 1) {
      for (const name of ['e1', 'e2', 'e3', 'e4', 'e5']) {
        router.observed(createJob(), asId(name), name === 'e1' ? slowCost : 25, now);
      }
    }
    router.refresh(now);
  };
  const countSlow = (now: number) => {
    const chosen = Array.from({ length: 100 }, () => router.select(createJob(), now));
    return chosen.filter((endpoint) => endpoint === 'e1').length;
  };
  observe(250, 1_000);
  assert.equal(countSlow(1_000), 0);
  router.refresh(7_000);
  assert.equal(countSlow(7_000), 1);
  observe(25, 8_000);
  assert.ok(countSlow(8_000) > 1);
});

test('an endpoint whose requests fail is not selected until its circuit breaker allows a probe', () => {
  const router = createRouter(1);
  for (let i = 0; i < 3; i += 1) {
    const job = createJob();
    const endpoint = send(router, job) as EndpointId;
    router.ended(job, endpoint, 'failed', 0);
  }
  assert.equal(router.select(createJob(), 10), undefined);
  router.refresh(1_500);
  assert.equal(router.select(createJob(), 1_500), 'e1');
});
