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
import type { Endpoint } from './Endpoint';
import { EndpointDirectory } from './EndpointDirectory';
import { HeldRequests } from './HeldRequests';
import { placeRequest } from './placeRequest';
import type { GatewayContext } from './GatewayContext';
import type { ResolvedRequest } from './resolveRequest';

const POOL = asId<'pool'>('pool');

const OBJECTIVE_MS = 1000;

/** Interval at which waiting requests are placed, in milliseconds. */
const TICK_MS = 20;

/** An endpoint with the conditions that it states. */
interface Condition {
  readonly version: string;
  readonly requestsPerS?: number;
  readonly pauseMs?: number;
  readonly isDraining?: boolean;
  readonly isLeaving?: boolean;
}

/** A request that waits; a take-up may use the endpoints of one version only. */
interface WaitingRequest {
  readonly name: string;
  readonly rank?: number;
  readonly workspace?: string;
  readonly version?: string;
}

/** Replays a load on the endpoints of one pool, named `e-0` and so on. */
function createPool(conditions: readonly Condition[]) {
  const timer = new VirtualTimer();
  const journal = createSilentJournal(timer);
  const random = new Random(1);
  const directory = new EndpointDirectory(timer, journal, random);
  directory.hasPermitLeader = () => true;
  const listed = conditions.map(({ version, isDraining = false }, number) => ({
    id: asId<'endpoint'>(`e-${number}`),
    pool: POOL,
    address: asId<'address'>(`127.0.0.1:${number + 1}`),
    dataCentre: 'a',
    slots: 4,
    isDraining,
    softwareVersion: asId<'softwareVersion'>(version),
  }));
  directory.replace(listed);
  const endpoints = directory.endpointsOf(POOL);
  for (const [number, { requestsPerS, pauseMs, isLeaving = false }] of conditions.entries()) {
    const stated = { requestsPerS, pauseMs, isLeaving, invalid: [] };
    endpoints[number]?.statements.observe(stated, undefined, timer.now());
  }
  const held = new HeldRequests({ directory, timer, journal, metrics: new Metrics() });
  const context = { directory, random, dataCentre: 'a', held } as unknown as GatewayContext;
  const placed: string[] = [];
  const rejected = new Map<string, Failure>();
  /** Places a request as an exchange does, and holds it if no endpoint accepts it. */
  const send = (request: WaitingRequest): void => {
    const { name, rank = 1, workspace = 'w', version } = request;
    const resolved = {
      target: POOL,
      rank,
      workspace: { name: workspace },
      route: { objectiveMs: OBJECTIVE_MS, hasAffinity: false },
      table: { findPool: () => undefined },
      metadata: { attempt: name },
    } as unknown as ResolvedRequest;
    const allows = (endpoint: Endpoint): boolean =>
      version === undefined || endpoint.listed.softwareVersion === version;
    const tried = new Set<string>();
    const place = (): void => {
      const placement = placeRequest(context, resolved, { tried, binding: { allows } });
      if (placement) {
        const { endpoint } = placement;
        if (endpoint.statements.takePermit()) held.recordTaken(POOL);
        placed.push(`${name} at ${endpoint.listed.id}`);
        return;
      }
      held.hold({
        ...{ resolved, leftMs: 10_000, triedEndpoints: tried, allows },
        onTurn: place,
        onRejected: (failure) => rejected.set(name, failure),
      });
    };
    place();
  };
  const grant = (number: number, count: number): void =>
    endpoints[number]?.statements.permits.grant(count, timer.now());
  return { timer, held, send, grant, placed, rejected };
}

const NARROW = [
  { version: 'v1', requestsPerS: 100 },
  { version: 'v2', requestsPerS: 100 },
];

// Guards against take-ups at the head of the queue that hold up what other endpoints would serve.
test('a take-up whose endpoints accept nothing holds up no request that another endpoint accepts', () => {
  const { timer, send, grant, placed, rejected } = createPool(NARROW);
  for (let number = 0; number < 5; number += 1) {
    send({ name: `take-up ${number}`, version: 'v1', rank: 0 });
    timer.advance(1);
  }
  for (let number = 0; number < 3; number += 1) {
    send({ name: `other ${number}` });
    timer.advance(1);
  }
  grant(1, 3);
  timer.advance(TICK_MS);
  assert.deepEqual(placed, ['other 0 at e-1', 'other 1 at e-1', 'other 2 at e-1']);
  grant(0, 5);
  timer.advance(TICK_MS);
  const takeUps = [0, 1, 2, 3, 4].map((number) => `take-up ${number} at e-0`);
  assert.deepEqual(placed.slice(3), takeUps);
  assert.equal(rejected.size, 0);
});

// Guards against a narrow choice that puts urgent work behind less urgent work.
test('an urgent take-up has the only place before less urgent requests that any endpoint may serve', () => {
  const { timer, send, grant, placed } = createPool(NARROW);
  for (let number = 0; number < 5; number += 1) send({ name: `other ${number}`, rank: 2 });
  send({ name: 'take-up', version: 'v1', rank: 0 });
  grant(0, 1);
  timer.advance(TICK_MS);
  assert.deepEqual(placed, ['take-up at e-0']);
});

// Guards against a take-up that waits in another order than requests of its rank.
test('a take-up has the place of its endpoint in the order of its rank', () => {
  const { timer, send, grant, placed } = createPool(NARROW);
  send({ name: 'first' });
  timer.advance(1);
  send({ name: 'take-up', version: 'v1' });
  timer.advance(1);
  send({ name: 'last' });
  for (let place = 0; place < 3; place += 1) {
    grant(0, 1);
    timer.advance(TICK_MS);
  }
  assert.deepEqual(placed, ['first at e-0', 'take-up at e-0', 'last at e-0']);
});

// Guards against a take-up that waits in vain, and a caller that learns late when to come back.
test('a take-up that would wait too long is rejected at once with the time to come back', () => {
  const { send, rejected } = createPool([
    { version: 'v1', requestsPerS: 0.5 },
    { version: 'v2', requestsPerS: 1000 },
  ]);
  send({ name: 'take-up', version: 'v1' });
  assert.equal(rejected.get('take-up')?.code.name, 'limited');
  assert.equal(rejected.get('take-up')?.retryAfterMs, 2000);
  send({ name: 'other' });
  assert.equal(rejected.has('other'), false);
});

// Guards against a take-up that is rejected because of work that goes to other endpoints.
test('the expectation of a take-up counts its share of the work ahead', () => {
  const conditions = [
    { version: 'v1', requestsPerS: 10 },
    { version: 'v2', requestsPerS: 90 },
  ];
  const sendBehind = (others: number): Failure | undefined => {
    const { send, rejected } = createPool(conditions);
    for (let number = 0; number < others; number += 1) send({ name: `other ${number}` });
    send({ name: 'take-up', version: 'v1' });
    return rejected.get('take-up');
  };
  // 2 of the 20 ahead, and itself, at 10 a second.
  assert.equal(sendBehind(20), undefined);
  // 4.5 of the 45 ahead, and itself.
  assert.equal(Math.round(sendBehind(45)?.retryAfterMs ?? 0), 550);
});

// Guards against an expectation that takes the work of other take-ups of the version for that of all endpoints.
test('the expectation of a take-up counts all take-ups of its version ahead', () => {
  const { send, rejected } = createPool([
    { version: 'v1', requestsPerS: 10 },
    { version: 'v2', requestsPerS: 90 },
  ]);
  for (let number = 0; number < 12; number += 1) send({ name: `${number}`, version: 'v1' });
  // The first four wait 100 to 400 ms, the fifth half the objective.
  assert.deepEqual([...rejected.keys()], ['5', '6', '7', '8', '9', '10', '11']);
  assert.equal(rejected.get('5')?.retryAfterMs, 600);
});

// Guards against an expectation by the permits that other endpoints use.
test('a take-up whose endpoints all pause is rejected at once with the end of the pause', () => {
  const { timer, send, grant, placed, rejected } = createPool([
    { version: 'v1', pauseMs: 3000 },
    { version: 'v2', requestsPerS: 100 },
  ]);
  grant(1, 20);
  for (let number = 0; number < 20; number += 1) send({ name: `other ${number}` });
  timer.advance(TICK_MS);
  assert.equal(placed.length, 20);
  send({ name: 'take-up', version: 'v1' });
  assert.equal(Math.round(rejected.get('take-up')?.retryAfterMs ?? 0), 3000 - TICK_MS);
});

for (const state of ['isDraining', 'isLeaving'] as const) {
  // Guards against a departing endpoint that counts as one that may still continue a stream.
  test(`a take-up neither uses nor waits for an endpoint of its version that ${state}`, () => {
    const { timer, held, send, grant, placed, rejected } = createPool([
      { version: 'v1', requestsPerS: 100, [state]: true },
      { version: 'v2', requestsPerS: 100 },
    ]);
    grant(0, 10);
    grant(1, 10);
    send({ name: 'take-up', version: 'v1' });
    timer.advance(TICK_MS);
    assert.deepEqual(placed, []);
    assert.equal(rejected.get('take-up')?.code.name, 'noEndpoint');
    assert.equal(held.size, 0);
  });

  // Guards against a take-up that a departing endpoint takes away from one that stays.
  test(`a take-up is placed at the other endpoint of its version if one ${state}`, () => {
    const { timer, send, grant, placed } = createPool([
      { version: 'v1', requestsPerS: 100, [state]: true },
      { version: 'v1', requestsPerS: 100 },
    ]);
    grant(0, 10);
    send({ name: 'take-up', version: 'v1' });
    timer.advance(TICK_MS);
    assert.deepEqual(placed, []);
    grant(1, 1);
    timer.advance(TICK_MS);
    assert.deepEqual(placed, ['take-up at e-1']);
  });
}

// Guards against a dispatch that takes longer than its interval while many take-ups wait for one version.
test('a tick with 2,000 waiting requests, half of them take-ups, ends within its interval', (t) => {
  const conditions = Array.from({ length: 40 }, (_, number) => ({
    version: number < 20 ? 'v1' : 'v2',
    requestsPerS: 1_000_000,
  }));
  const { timer, held, send, grant, placed } = createPool(conditions);
  for (let number = 0; number < 2000; number += 1) {
    const workspace = `w-${number % 20}`;
    const isTakeUp = number % 2 === 0;
    send({ name: `${number}`, rank: 0, workspace, ...(isTakeUp && { version: 'v1' }) });
  }
  assert.equal(held.size, 2000);
  const times = Array.from({ length: 11 }, () => {
    for (let number = 20; number < 40; number += 1) grant(number, 2);
    const startedAt = performance.now();
    timer.advance(TICK_MS);
    return performance.now() - startedAt;
  }).sort((a, b) => a - b);
  const [median = 0] = times.slice(5);
  t.diagnostic(`${placed.length} placed in 11 ticks, ${median.toFixed(2)} ms a tick (median)`);
  assert.equal(placed.length, 440);
  assert.ok(median < TICK_MS, `${median} ms`);
});
