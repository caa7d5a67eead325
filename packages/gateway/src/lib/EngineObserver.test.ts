import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MomentaryFigure, type ObservedPrefill } from '@berylwood/policy';
import { VirtualTimer } from '@berylwood/base';
import { admissionPrefillMs } from './admissionPrefillMs';
import type { Endpoint } from './Endpoint';
import { EngineObserver } from './EngineObserver';
import type { Placement } from './placeRequest';

function createObserver() {
  const timer = new VirtualTimer();
  const state = { waitingTokens: 0, momentary: new MomentaryFigure() };
  const endpoint = state as unknown as Endpoint;
  const prefills: ObservedPrefill[] = [];
  const gaps: [gapMs: number, isPrefilling: boolean][] = [];
  const engines = {
    observePrefill: (_: Endpoint, observed: ObservedPrefill) => prefills.push(observed),
    observeGap: (_: Endpoint, gapMs: number, isPrefilling: boolean) =>
      gaps.push([gapMs, isPrefilling]),
  };
  const placement: Placement = {
    endpoint,
    tokens: 2890,
    prefillMs: 150,
    expectedMs: 300,
    queuedTokens: 9190,
  };
  const attempt = { endpoint, startedAt: timer.now() };
  const observer = new EngineObserver({ engines, timer }, attempt, placement);
  const receive = (afterMs: number, waitingTokens = 0): void => {
    timer.advance(afterMs);
    state.waitingTokens = waitingTokens;
    observer.eventReceived();
  };
  return { observer, receive, prefills, gaps, placement };
}

test('the first event gives the time of the prefill, and later ones the times between events', () => {
  const { receive, prefills, gaps } = createObserver();
  receive(320);
  receive(25);
  receive(26);
  assert.deepEqual(prefills, [
    { tokens: 9190, ownTokens: 2890, dataSheetMs: 150, observedMs: 320, momentary: 1 },
  ]);
  assert.deepEqual(gaps, [
    [25, false],
    [26, false],
  ]);
});

// Guards against a mixture of both kinds of gaps, which would be the time of neither.
test('gaps count as beside a prefill only if one goes on from their begin to their end', () => {
  const { receive, gaps } = createObserver();
  receive(320, 9000);
  receive(290, 9000);
  receive(200, 0);
  receive(25, 0);
  receive(25, 500);
  assert.deepEqual(gaps, [
    [290, true],
    [25, false],
  ]);
});

// Guards against slow readers and slow disks that would look like slow engines.
test('a gap during which the response was not read is left out', () => {
  const { observer, receive, gaps } = createObserver();
  receive(320);
  observer.paused();
  receive(900);
  receive(25);
  assert.deepEqual(gaps, [[25, false]]);
});

// Guards against more rejections by a changed estimate before they have been measured.
test('requests are admitted by the estimate of the data sheet', () => {
  assert.equal(admissionPrefillMs(createObserver().placement), 150);
});
