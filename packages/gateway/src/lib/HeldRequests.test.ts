import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  Metrics,
  Random,
  VirtualTimer,
  asId,
  createSilentJournal,
  type Failure,
} from '@berylwood/base';
import { EndpointDirectory } from './EndpointDirectory';
import { HeldRequests } from './HeldRequests';
import type { ResolvedRequest } from './resolveRequest';

const POOL = asId<'pool'>('pool');

const OBJECTIVE_MS = 1000;

/** A request as far as waiting needs it. */
function createRequest(workspace: string, rank: number): ResolvedRequest {
  return {
    target: POOL,
    rank,
    workspace: { name: workspace },
    route: { objectiveMs: OBJECTIVE_MS },
    metadata: { attempt: `${workspace}-${rank}` },
  } as unknown as ResolvedRequest;
}

function createPool(requestsPerS: number | undefined, pauseMs?: number, coldPerS?: number) {
  const timer = new VirtualTimer();
  const journal = createSilentJournal(timer);
  const directory = new EndpointDirectory(timer, journal, new Random(1));
  directory.hasPermitLeader = () => true;
  directory.coldStart = () =>
    coldPerS === undefined ? undefined : { durationMs: 3000, requestsPerS: coldPerS };
  const listed = {
    id: asId<'endpoint'>('e-1'),
    pool: POOL,
    address: asId<'address'>('127.0.0.1:1'),
  };
  directory.replace([{ ...listed, dataCentre: 'a', slots: 4, isDraining: false }]);
  if (coldPerS !== undefined) directory.dataCentreReturned('a');
  const [endpoint] = directory.endpointsOf(POOL);
  assert.ok(endpoint);
  const { statements } = endpoint;
  const conditions = { requestsPerS, isLeaving: false, pauseMs, invalid: [] };
  statements.observe(conditions, undefined, timer.now());
  const held = new HeldRequests({ directory, timer, journal, metrics: new Metrics() });
  const placed: string[] = [];
  const rejected: Failure[] = [];
  const hold = (workspace: string, rank = 0, triedEndpoints = new Set<string>()): Disposable => {
    const onTurn = (): void => {
      statements.takePermit();
      placed.push(`${workspace}-${rank}`);
    };
    const onRejected = (failure: Failure): unknown => rejected.push(failure);
    const resolved = createRequest(workspace, rank);
    const allows = (): boolean => true;
    return held.hold({ resolved, leftMs: 10_000, triedEndpoints, allows, onTurn, onRejected });
  };
  const grant = (count: number): void => statements.permits.grant(count, timer.now());
  return { timer, held, hold, grant, placed, rejected };
}

test('a waiting request is placed when a permit arrives, the most urgent first', () => {
  const { timer, hold, grant, placed } = createPool(20);
  hold('a', 2);
  hold('a', 1);
  hold('a', 0);
  timer.advance(50);
  assert.deepEqual(placed, []);
  grant(2);
  timer.advance(50);
  assert.deepEqual(placed, ['a-0', 'a-1']);
});

test('a request that would wait too long is rejected at once with the expected time', () => {
  const { hold, rejected } = createPool(0.5);
  hold('a');
  assert.equal(rejected[0]?.code.name, 'limited');
  assert.equal(rejected[0]?.retryAfterMs, 2000);
});

test('a request waits no longer than half its objective', () => {
  const { timer, hold, grant, placed, rejected } = createPool(4);
  hold('a');
  timer.advance(OBJECTIVE_MS / 2);
  assert.equal(rejected.length, 1);
  grant(1);
  timer.advance(100);
  assert.deepEqual(placed, []);
});

test('rejected, placed, expired and abandoned requests are not kept', () => {
  const rejecting = createPool(0.5);
  for (let number = 0; number < 100; number += 1) rejecting.hold('a');
  assert.equal(rejecting.held.size, 0);
  const { timer, held, hold, grant } = createPool(100);
  const holds = Array.from({ length: 3 }, () => hold('a'));
  holds[0]?.[Symbol.dispose]();
  grant(1);
  timer.advance(OBJECTIVE_MS);
  assert.equal(held.size, 0);
});

test('a request whose caller has left takes no permit', () => {
  const { timer, hold, grant, placed } = createPool(10);
  hold('gone')[Symbol.dispose]();
  hold('a');
  grant(1);
  timer.advance(50);
  assert.deepEqual(placed, ['a-0']);
});

test('one workspace with many waiting requests does not starve another one', () => {
  const { timer, hold, grant, placed } = createPool(100);
  for (let number = 0; number < 20; number += 1) hold('large');
  hold('small');
  grant(4);
  timer.advance(50);
  assert.ok(placed.includes('small-0'));
});

test('the end of a pause is the time to come back, or to be placed', () => {
  const long = createPool(undefined, 3000);
  long.hold('a');
  assert.equal(long.rejected[0]?.retryAfterMs, 3000);
  const short = createPool(undefined, 200);
  short.hold('a');
  short.timer.advance(250);
  assert.deepEqual(short.placed, ['a-0']);
});

test('a request that has tried every limited endpoint does not wait', () => {
  const { hold, rejected } = createPool(10);
  hold('a', 0, new Set(['e-1']));
  assert.equal(rejected[0]?.code.name, 'noEndpoint');
});

test('requests wait for a permit of a cold endpoint, or are rejected if it accepts too few', () => {
  const { timer, hold, grant, placed } = createPool(undefined, undefined, 17);
  hold('a');
  timer.advance(50);
  assert.deepEqual(placed, []);
  grant(1);
  timer.advance(50);
  assert.deepEqual(placed, ['a-0']);
  const slow = createPool(undefined, undefined, 0.5);
  slow.hold('a');
  assert.equal(slow.rejected[0]?.code.name, 'limited');
});
