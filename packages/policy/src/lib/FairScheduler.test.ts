import assert from 'node:assert/strict';
import test from 'node:test';
import { asId, Random } from '@berylwood/base';
import type { RequestId } from '@berylwood/schema';
import fc from 'fast-check';
import {
  createCandidates,
  createClass,
  createConfiguration,
  createJob,
  createLoad,
} from '../fixtures';
import { Simulation, type Arrival, type SimulationSetup, type Trace } from '../fixtures/Simulation';
import { FairScheduler } from './FairScheduler';
import type { Decision } from './Job';
import { FairLocalQueue } from './local/FairLocalQueue';

function createScheduler(endpoints = 1, slots = 1): FairScheduler {
  const scheduler = new FairScheduler();
  scheduler.configure(createConfiguration());
  scheduler.setCandidates(createCandidates(endpoints, { slots }), 0);
  return scheduler;
}

const requestsOf = (decisions: readonly Decision[], type: Decision['type']) =>
  decisions.filter((decision) => decision.type === type).map(({ request }) => request);

test('dispatches the higher tier first and keeps requests waiting without a free slot', () => {
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

test('dispatches an urgent request to a full endpoint that runs lower-tier work', () => {
  const scheduler = createScheduler();
  scheduler.loadReported({
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

test('serves a late request after one that can still meet its target', () => {
  const scheduler = createScheduler();
  const late = createJob({ targetAt: 100 });
  const onTime = createJob({ arrivedAt: 500, targetAt: 5_000, workspace: asId('beta') });
  scheduler.offer(late, 0);
  scheduler.offer(onTime, 500);
  assert.deepEqual(requestsOf(scheduler.decide(500), 'dispatch'), [onTime.request]);
});

test('rejects the lowest tier at the end of the maximum wait', () => {
  const scheduler = createScheduler();
  const running = createJob({ tier: 1 });
  scheduler.offer(running, 0);
  scheduler.decide(0);
  const waiting = createJob({ tier: 1, expiresAt: 1_000 });
  scheduler.offer(waiting, 0);
  scheduler.loadReported({
    endpoint: asId('e1'),
    load: createLoad({ slots: 1, running: 1, credits: 0, runningTier: 1 }),
    at: 500,
  });
  assert.deepEqual(scheduler.decide(999), []);
  const [decision] = scheduler.decide(1_000);
  assert.equal(decision?.type, 'refuse');
  assert.equal(decision?.request, waiting.request);
});

test('rejects a request without any endpoint once its target time has passed', () => {
  const scheduler = new FairScheduler();
  const job = createJob({ targetAt: 1_000 });
  scheduler.offer(job, 0);
  assert.deepEqual(scheduler.decide(0), []);
  assert.deepEqual(requestsOf(scheduler.decide(1_001), 'refuse'), [job.request]);
});

test('propagates a floor, and rejects a tier only after the propagation delay', () => {
  const [first, second] = [1, 2].map((seed) => {
    const scheduler = new FairScheduler({ seed, floorDelayMs: 100 });
    scheduler.setCandidates(createCandidates(1, { slots: 1 }), 0);
    scheduler.offer(createJob({ tier: 1 }), 0);
    scheduler.decide(0);
    return scheduler;
  }) as [FairScheduler, FairScheduler];
  const load = createLoad({ slots: 1, running: 1, credits: 0, runningTier: 1 });
  first.loadReported({ endpoint: asId('e1'), load, at: 900 });
  const high = createJob({ tier: 1, expiresAt: 1_000 });
  const low = createJob({ tier: 4 });
  first.offer(high, 900);
  second.offer(low, 900);
  second.offer(createJob({ tier: 4 }), 900);
  assert.deepEqual(requestsOf(first.decide(1_000), 'refuse'), []);
  const [floor] = first.floors(1_000);
  assert.ok(floor);
  assert.deepEqual([floor.target, floor.tier], ['model', 1]);
  second.floorReceived(floor, 1_020);
  assert.equal(requestsOf(second.decide(1_020), 'refuse').length, 2);
  assert.deepEqual(requestsOf(first.decide(1_100), 'refuse'), [high.request]);
});

test('serves a class below its minimum share before higher tiers', () => {
  const scheduler = new FairScheduler();
  const classes = { chat: createClass(), letter: createClass({ minimumShare: 0.1 }) };
  scheduler.configure(createConfiguration({ classes }));
  scheduler.setCandidates(createCandidates(1, { slots: 1 }), 0);
  const letter = createJob({ class: 'letter', tier: 5 });
  scheduler.offer(letter, 0);
  for (let i = 0; i < 30; i += 1) scheduler.offer(createJob({ tier: 1 }), 0);
  let dispatchedBefore = 0;
  for (let now = 0; now < 1_500; now += 50) {
    const [request] = requestsOf(scheduler.decide(now), 'dispatch');
    assert.ok(request);
    if (request === letter.request) break;
    dispatchedBefore += 1;
    scheduler.ended({ request, outcome: 'completed', answerTokens: 100 }, now + 1);
  }
  assert.equal(dispatchedBefore, 10);
});

const SLOTS = 8;
const ENDPOINTS = 4;
const DECODE_MS = 25;
const PROMPT_TOKENS = 80;
/** Requests per second that the simulated endpoints can serve, with 150 tokens each. */
const CAPACITY_RPS = (SLOTS * ENDPOINTS * 1_000) / (150 * DECODE_MS + 35);

interface Stream {
  readonly workspace: string;
  readonly class: string;
  readonly tier: number;
  readonly share?: number;
  readonly requestsPerSecond: number;
  readonly answerTokens?: number;
  readonly until?: number;
}

const simulationClasses = {
  guidance: createClass({ firstTokenMs: 1_400, maxWaitMs: 20_000 }),
  chat: createClass({ firstTokenMs: 2_000, maxWaitMs: 20_000, minimumShare: 0.02 }),
  letter: createClass({ firstTokenMs: 20_000, maxWaitMs: 60_000, minimumShare: 0.02 }),
};

function createArrivals(streams: readonly Stream[], endMs: number, seed: number): Arrival[] {
  const random = new Random(seed);
  const arrivals: Arrival[] = [];
  for (const stream of streams) {
    const { firstTokenMs, maxWaitMs } =
      simulationClasses[stream.class as keyof typeof simulationClasses];
    const mean = stream.answerTokens ?? 150;
    let at = 0;
    for (;;) {
      at += random.exponential(1_000 / stream.requestsPerSecond);
      if (at >= Math.min(endMs, stream.until ?? Infinity)) break;
      const job = createJob({
        workspace: asId(stream.workspace),
        class: stream.class,
        tier: stream.tier,
        share: stream.share ?? 1,
        promptTokens: PROMPT_TOKENS,
        answerTokens: 150,
        arrivedAt: at,
        targetAt: at + firstTokenMs,
        expiresAt: at + maxWaitMs,
      });
      // Log-normal lengths with the given mean.
      const answer = Math.ceil(mean * Math.exp(0.8 * random.normal() - 0.32));
      arrivals.push({ job, answer });
    }
  }
  return arrivals.sort((a, b) => a.job.arrivedAt - b.job.arrivedAt);
}

function runSimulation(
  streams: readonly Stream[],
  endMs: number,
  options: Partial<SimulationSetup> & { readonly entries?: number } = {},
): Trace[] {
  const { entries = 3, seed = 1 } = options;
  const simulation = new Simulation({
    schedulers: Array.from({ length: entries }, (_, i) => new FairScheduler({ seed: i + 1 })),
    queues: Array.from(
      { length: ENDPOINTS },
      () => new FairLocalQueue({ slots: SLOTS, capacity: 64 }),
    ),
    slots: SLOTS,
    configuration: createConfiguration({ classes: simulationClasses }),
    ...options,
  });
  simulation.offer(createArrivals(streams, endMs, seed));
  simulation.runUntil(endMs);
  return [...simulation.traces.values()];
}

const meetsTarget = ({ firstTokenAt = Infinity, job }: Trace) => firstTokenAt <= job.targetAt;

const overload = (factor: number): Stream[] => [
  { workspace: 'crew', class: 'guidance', tier: 1, requestsPerSecond: 0.4 * CAPACITY_RPS },
  { workspace: 'shop', class: 'chat', tier: 2, requestsPerSecond: 0.4 * factor * CAPACITY_RPS },
  { workspace: 'office', class: 'letter', tier: 5, requestsPerSecond: 0.4 * factor * CAPACITY_RPS },
];

test('99% of the top tier meet their target at three times the capacity if its own demand fits', () => {
  for (const seed of [1, 2, 3]) {
    const traces = runSimulation(overload(3), 60_000, { seed });
    const guidance = traces.filter(({ job }) => job.class === 'guidance' && job.targetAt <= 60_000);
    const attained = guidance.filter(meetsTarget).length;
    assert.ok(attained >= 0.99 * guidance.length, `${attained} of ${guidance.length}`);
  }
});

test('no class starves and no wait exceeds its limit while the top tier overloads the endpoints', () => {
  const streams = [
    { workspace: 'crew', class: 'guidance', tier: 1, requestsPerSecond: 3 * CAPACITY_RPS },
    { workspace: 'shop', class: 'chat', tier: 2, requestsPerSecond: 0.5 },
    { workspace: 'office', class: 'letter', tier: 5, requestsPerSecond: 0.5 },
  ];
  const traces = runSimulation(streams, 180_000);
  for (const [name, { maxWaitMs }] of Object.entries(simulationClasses)) {
    const classTraces = traces.filter(({ job }) => job.class === name);
    const starts = classTraces.flatMap(({ startedAt }) => startedAt ?? []).sort((a, b) => a - b);
    const gaps = [0, ...starts].map((at, i) => (starts[i] ?? 180_000) - at);
    assert.ok(Math.max(...gaps) <= maxWaitMs, `${name}: ${Math.max(...gaps)} ms without a start`);
    for (const { job, startedAt, refusedAt } of classTraces) {
      const waitMs = Math.min(startedAt ?? Infinity, refusedAt ?? 180_000) - job.arrivedAt;
      assert.ok(waitMs <= maxWaitMs + 1_100, `${name}: waited ${waitMs} ms`);
    }
  }
});

test('the worst-served workspace gets at least 90% of its fair share of the work', () => {
  const shares = { flood: 1, small: 1, long: 1, large: 3 };
  const stream = (workspace: keyof typeof shares, factor: number, answerTokens = 150): Stream => ({
    workspace,
    class: 'chat',
    tier: 2,
    share: shares[workspace],
    requestsPerSecond: (factor * CAPACITY_RPS * shares[workspace] * 150) / 6 / answerTokens,
    answerTokens,
  });
  const streams = [
    stream('flood', 10),
    stream('small', 2),
    stream('long', 2, 400),
    stream('large', 2),
  ];
  for (const seed of [1, 2]) {
    const traces = runSimulation(streams, 400_000, { seed });
    const work = new Map<string, number>();
    for (const { job, tokensDone } of traces) {
      const tokens = tokensDone > 0 ? PROMPT_TOKENS + tokensDone : 0;
      work.set(job.workspace, (work.get(job.workspace) ?? 0) + tokens);
    }
    const total = [...work.values()].reduce((sum, tokens) => sum + tokens, 0);
    for (const [workspace, share] of Object.entries(shares)) {
      const fraction = (work.get(workspace) ?? 0) / ((total * share) / 6);
      assert.ok(fraction >= 0.9, `${workspace} got ${fraction} of its share with seed ${seed}`);
    }
  }
});

test('at most 2% of the requests miss their target because of a slow endpoint', () => {
  const slowness = (endpoint: number, now: number) => (endpoint === 0 && now > 10_000 ? 10 : 1);
  const streams: Stream[] = [
    { workspace: 'shop', class: 'chat', tier: 2, requestsPerSecond: 0.6 * CAPACITY_RPS },
  ];
  const traces = runSimulation(streams, 90_000, { slowness }).filter(
    ({ job }) => job.targetAt <= 90_000,
  );
  const late = traces.filter((trace) => !meetsTarget(trace)).length;
  assert.ok(late <= 0.02 * traces.length, `${late} of ${traces.length}`);
});

test('rejects early under overload, with a retry time in which the queue drains', () => {
  const streams: Stream[] = [
    {
      workspace: 'shop',
      class: 'chat',
      tier: 2,
      requestsPerSecond: 4 * CAPACITY_RPS,
      until: 60_000,
    },
  ];
  const traces = runSimulation(streams, 60_000, { entries: 1 });
  const rejected = traces.filter(({ refusedAt }) => refusedAt !== undefined);
  const early = rejected.filter(({ job, refusedAt = 0 }) => refusedAt < job.expiresAt - 10_000);
  assert.ok(early.length >= 0.5 * rejected.length, `${early.length} of ${rejected.length}`);
  const retryDelays = rejected.map(({ retryAfterMs = 0 }) => retryAfterMs);
  // The queue holds about one maximum wait of work, which drains in that time without new arrivals.
  assert.ok(retryDelays.every((retryAfterMs) => retryAfterMs > 0 && retryAfterMs <= 25_000));
  const longestDelay = Math.max(...retryDelays);
  assert.ok(longestDelay >= 15_000, `${longestDelay}`);
});

/** Applies random events to one scheduler and checks each rejection against the waiting requests. */
function checkRejections(steps: readonly (readonly [number, number, number])[]): void {
  const scheduler = createScheduler(2, 2);
  const waiting = new Map<string, number>();
  const running: RequestId[] = [];
  let now = 0;
  for (const [kind, tier, delay] of steps) {
    now += delay;
    const request = kind === 0 ? running.shift() : undefined;
    if (request) scheduler.ended({ request, outcome: 'completed', answerTokens: 5 }, now);
    else {
      const job = createJob({ tier, arrivedAt: now, targetAt: now + 200, expiresAt: now + 500 });
      waiting.set(job.request, tier);
      scheduler.offer(job, now);
    }
    for (const decision of scheduler.decide(now)) {
      const decidedTier = waiting.get(decision.request) as number;
      waiting.delete(decision.request);
      if (decision.type === 'dispatch') running.push(decision.request);
      else assert.ok([...waiting.values()].every((other) => other <= decidedTier));
    }
    for (const [other, count] of scheduler.waitingByTier()) {
      assert.equal([...waiting.values()].filter((item) => item === other).length, count);
    }
  }
}

test('never rejects a higher tier while lower-tier requests wait, for any sequence of events', () => {
  const step = fc.tuple(
    fc.integer({ min: 0, max: 2 }),
    fc.integer({ min: 1, max: 5 }),
    fc.integer({ min: 0, max: 150 }),
  );
  fc.assert(fc.property(fc.array(step, { maxLength: 80 }), checkRejections), { seed: 1 });
});
