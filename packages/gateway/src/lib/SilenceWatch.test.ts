import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualTimer } from '@berylwood/base';
import { SilenceWatch } from './SilenceWatch';

const CHAT = { kind: 'stream', objectiveMs: 800, pauseMs: 150 } as const;

function createWatch() {
  const timer = new VirtualTimer();
  const silences: string[] = [];
  const state = { heardAt: -1, isDark: false, probes: 0, isOvertaken: false };
  const endpoint = {
    hasOvertaken: () => state.isOvertaken,
    heardSince: (time: number) => state.heardAt > time,
    probe: (onUnreachable: () => void) => {
      state.probes += 1;
      if (state.isDark) onUnreachable();
    },
  };
  const watch = new SilenceWatch({
    timer,
    attempt: { startedAt: timer.now(), endpoint },
    route: CHAT,
    rank: 0,
    onSilence: (reason) => silences.push(reason),
  });
  const hear = (): void => {
    state.heardAt = timer.now();
    watch.heard();
  };
  return { timer, watch, state, silences, hear };
}

test('a stream that never begins at an endpoint out of reach goes elsewhere within its objective', () => {
  const { timer, state, silences } = createWatch();
  state.isDark = true;
  timer.advance(CHAT.objectiveMs);
  assert.equal(silences[0], 'endpoint out of reach');
});

test('a running stream that falls silent goes elsewhere before its caller leaves', () => {
  const { timer, state, silences, hear } = createWatch();
  for (let event = 0; event < 30; event += 1) {
    timer.advance(100);
    hear();
  }
  assert.deepEqual(silences, []);
  state.isDark = true;
  timer.advance(1000);
  assert.equal(silences[0], 'endpoint out of reach');
});

test('an endpoint that can be reached, or is heard by other requests, keeps its streams', () => {
  const { timer, state, silences, hear } = createWatch();
  hear();
  timer.advance(5000);
  assert.ok(state.probes > 0);
  const { probes } = state;
  state.heardAt = Infinity;
  timer.advance(5000);
  assert.equal(state.probes, probes);
  assert.deepEqual(silences, []);
});

test('a stream that later ones have overtaken goes elsewhere, unless it has begun', () => {
  const late = createWatch();
  late.state.isOvertaken = true;
  late.timer.advance(500);
  assert.equal(late.silences[0], 'overtaken without an answer');
  const begun = createWatch();
  begun.hear();
  begun.state.isOvertaken = true;
  begun.timer.advance(500);
  assert.deepEqual(begun.silences, []);
});

test('a watch that has ended says nothing', () => {
  const { timer, watch, state, silences } = createWatch();
  state.isDark = true;
  watch[Symbol.dispose]();
  timer.advance(5000);
  assert.deepEqual(silences, []);
});
