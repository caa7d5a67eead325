import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random, VirtualTimer } from '@berylwood/base';
import { StallDetector } from './StallDetector';

const CHAT = { kind: 'stream', objectiveMs: 800, pauseMs: 150 } as const;

function createDetector() {
  const timer = new VirtualTimer();
  const stalls: string[] = [];
  const state = { lastSeenAt: -1, isUnreachable: false, probes: 0, isOvertaken: false };
  const endpoint = {
    hasOvertaken: () => state.isOvertaken,
    seenSince: (time: number) => state.lastSeenAt > time,
    probe: (onUnreachable: () => void) => {
      state.probes += 1;
      if (state.isUnreachable) onUnreachable();
    },
  };
  const detector = new StallDetector({
    timer,
    attempt: { startedAt: timer.now(), endpoint },
    route: CHAT,
    rank: 0,
    onStall: (reason) => stalls.push(reason),
  });
  const receiveEvent = (): void => {
    state.lastSeenAt = timer.now();
    detector.eventReceived();
  };
  return { timer, detector, state, stalls, receiveEvent };
}

test('a stream without an event on an unreachable endpoint is reported within its objective', () => {
  const { timer, state, stalls } = createDetector();
  state.isUnreachable = true;
  timer.advance(CHAT.objectiveMs);
  assert.equal(stalls[0], 'endpoint out of reach');
});

test('a running stream that stalls on an unreachable endpoint is reported before its caller leaves', () => {
  const { timer, state, stalls, receiveEvent } = createDetector();
  for (let event = 0; event < 30; event += 1) {
    timer.advance(100);
    receiveEvent();
  }
  assert.deepEqual(stalls, []);
  state.isUnreachable = true;
  timer.advance(1000);
  assert.equal(stalls[0], 'endpoint out of reach');
});

test('a stream that has not started is not reported while its endpoint is alive', () => {
  const { timer, state, stalls } = createDetector();
  timer.advance(5000);
  assert.ok(state.probes > 0);
  const { probes } = state;
  state.lastSeenAt = Infinity;
  timer.advance(5000);
  assert.equal(state.probes, probes);
  assert.deepEqual(stalls, []);
});

/** Time after which callers of the route abandon a stream without an event, in milliseconds. */
const CALLER_PATIENCE_MS = Math.max(2000, 4 * CHAT.objectiveMs, 8 * CHAT.pauseMs);

test('a running stream without events is reported before its caller leaves, though its endpoint is alive', () => {
  for (let seed = 1; seed <= 1000; seed += 1) {
    const random = new Random(seed);
    const { timer, state, stalls, receiveEvent } = createDetector();
    for (let event = random.below(20); event >= 0; event -= 1) {
      timer.advance(random.between(20, 150));
      receiveEvent();
    }
    state.lastSeenAt = Infinity;
    const stalledAt = timer.now();
    while (stalls.length === 0 && timer.now() - stalledAt < CALLER_PATIENCE_MS) timer.advance(50);
    assert.equal(stalls[0], 'no event while its endpoint serves others', `seed ${seed}`);
  }
});

test('a slow but steady stream is never reported', () => {
  for (let seed = 1; seed <= 1000; seed += 1) {
    const random = new Random(seed);
    const { timer, stalls, receiveEvent } = createDetector();
    receiveEvent();
    for (let event = 0; event < 56; event += 1) {
      // Up to eight times the pause that the route aims at.
      timer.advance(random.between(50, 8 * CHAT.pauseMs));
      receiveEvent();
    }
    assert.deepEqual(stalls, [], `seed ${seed}`);
  }
});

test('a stream that later streams have overtaken is reported, unless it has started', () => {
  const late = createDetector();
  late.state.isOvertaken = true;
  late.timer.advance(500);
  assert.equal(late.stalls[0], 'overtaken without an answer');
  const started = createDetector();
  started.receiveEvent();
  started.state.isOvertaken = true;
  started.timer.advance(500);
  assert.deepEqual(started.stalls, []);
});

test('a disposed detector reports nothing', () => {
  const { timer, detector, state, stalls } = createDetector();
  state.isUnreachable = true;
  detector[Symbol.dispose]();
  timer.advance(5000);
  assert.deepEqual(stalls, []);
});
