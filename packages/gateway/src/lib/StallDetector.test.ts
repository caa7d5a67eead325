import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualTimer } from '@berylwood/base';
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

test('a stream is not reported while its endpoint is reachable or sends data to other requests', () => {
  const { timer, state, stalls, receiveEvent } = createDetector();
  receiveEvent();
  timer.advance(5000);
  assert.ok(state.probes > 0);
  const { probes } = state;
  state.lastSeenAt = Infinity;
  timer.advance(5000);
  assert.equal(state.probes, probes);
  assert.deepEqual(stalls, []);
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
