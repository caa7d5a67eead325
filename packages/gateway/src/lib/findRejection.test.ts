import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Journal, Metrics, Random, VirtualTimer, asId } from '@berylwood/base';
import { FairAdmission } from './FairAdmission';
import { findRejection } from './findRejection';
import type { Placement } from './placeRequest';
import type { ResolvedRequest } from './resolveRequest';

const POOL = asId<'pool'>('pool');

const TIMEOUT_MS = 4000;

/** An instance that the leader has told of a shortage in which `first` and `returning` are admitted. */
function createInstance(first: number, returning: number) {
  const timer = new VirtualTimer();
  const journal = new Journal({ process: 'test', incarnation: 'test-1', timer, level: 'silent' });
  const metrics = new Metrics();
  const admission = new FairAdmission({
    ...{ timer, journal, metrics, random: new Random(1), mesh: { isLeader: false } },
    pools: () => [],
  });
  const update = { admission: [[POOL, 0, [[2, 1, 1, [['w', first, returning]]]]]] };
  admission.attachments.receiveUpdate(update);
  return { admission, timer, metrics };
}

function createRequest(deadlineMs?: number, workspace = 'w'): ResolvedRequest {
  return {
    ...{ target: POOL, rank: 0, workspace: { name: workspace } },
    route: { rank: 2, objectiveMs: 2000, timeoutMs: TIMEOUT_MS },
    metadata: { deadlineMs },
    table: { isLeastUrgent: () => true },
  } as unknown as ResolvedRequest;
}

const place = (prefillMs: number, tokens = 4000): Placement =>
  ({ tokens, prefillMs, expectedMs: prefillMs, queuedTokens: tokens }) as Placement;

// Guards against a queue that decides against the shares, and against a request that would be late anyway.
test('during a shortage the share decides, apart from requests that cannot end in time', () => {
  const { admission } = createInstance(0, 1);
  const reject = (request: ResolvedRequest, prefillMs: number) =>
    findRejection({ admission }, request, place(prefillMs), TIMEOUT_MS);
  const rejection = reject(createRequest(), 10);
  assert.equal(rejection?.reason, 'beyond the share of its workspace');
  assert.ok((rejection?.retryAfterMs ?? 0) >= 0.15 * TIMEOUT_MS);
  assert.equal(reject(createRequest(3000), 1500), undefined);
  assert.equal(reject(createRequest(undefined, 'other'), 1500), undefined);
  assert.equal(reject(createRequest(3000), 3000)?.reason, 'expected to start too late');
});

// Guards against a request that is counted again, or rejected after all, as it did not reach its endpoint.
test('a request that is placed again is asked for and admitted once', async () => {
  const { admission, metrics } = createInstance(0.999, 1);
  const requests = Array.from({ length: 50 }, () => createRequest());
  const reject = (request: ResolvedRequest) =>
    findRejection({ admission }, request, place(10), TIMEOUT_MS);
  const admitted = requests.filter((request) => reject(request) === undefined);
  for (const request of admitted) assert.equal(reject(request), undefined);
  const line = `outcome="admitted"} ${admitted.length}\n`;
  assert.ok((await metrics.expose()).includes(line), `${admitted.length} admitted`);
});

// Guards against fractions that stay in force without a leader, and against any effect on plain services.
test('without news for a second, and for requests without a prompt, the queue decides', () => {
  const { admission, timer } = createInstance(0, 0);
  const reject = (tokens: number, prefillMs: number) =>
    findRejection({ admission }, createRequest(), place(prefillMs, tokens), TIMEOUT_MS);
  assert.equal(reject(0, 0), undefined);
  assert.ok(reject(4000, 10));
  timer.advance(1000);
  assert.equal(reject(4000, 10), undefined);
  assert.deepEqual(reject(4000, 1500), {
    ...{ reason: 'expected to start too late', retryAfterMs: undefined },
  });
});
