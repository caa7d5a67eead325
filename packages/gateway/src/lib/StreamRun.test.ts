import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualTimer } from '@berylwood/base';
import { PoolStreams } from './PoolStreams';
import { PrefillPeriod } from './PrefillPeriod';
import { StreamRun } from './StreamRun';

/** Tokens whose prefill takes longer than an event, also where it is fast. */
const LONG_QUEUE = 100_000;

function createRun({ tokensBefore }: { readonly tokensBefore?: number } = { tokensBefore: 0 }) {
  const timer = new VirtualTimer();
  const pool = new PoolStreams();
  pool.split = { ...pool.split, pauseMs: 300 };
  const prefill = new PrefillPeriod();
  const parts = { timer, pool, endpoint: { prefill }, pauseMs: 300 };
  const run = new StreamRun({ ...parts, tokens: 4000, tokensBefore });
  const event = (afterMs: number): void => {
    timer.advance(afterMs);
    run.eventReceived();
  };
  const gaps = (): number => Math.round(pool.eventMs.weight(timer.now()));
  const queue = (tokens: number): void => prefill.observe(tokens, timer.now());
  return { timer, pool, run, event, gaps, queue };
}

test('a gap counts if prompts were queued at the engine for the whole of it', () => {
  const { event, gaps, queue } = createRun();
  queue(LONG_QUEUE);
  event(100);
  event(290);
  assert.equal(gaps(), 1);
});

// Guards against an estimate from events that only a part of which was delayed.
test('a gap does not count if the queue began, ended or was short in it', () => {
  const { event, gaps, queue, timer } = createRun();
  event(100);
  timer.advance(10);
  queue(LONG_QUEUE);
  event(200);
  timer.advance(10);
  queue(0);
  event(100);
  queue(3000);
  event(200);
  event(200);
  assert.equal(gaps(), 0);
});

// Guards against stalls, resumed streams and slow callers that look like prefill.
test('gaps of stalled streams, before the first event and after a pause of the caller do not count', () => {
  const { run, event, gaps, queue } = createRun();
  queue(LONG_QUEUE);
  event(300);
  event(4000);
  run.paused();
  event(300);
  assert.equal(gaps(), 0);
});

test('the time per token comes from prompts with little queued before them', () => {
  const { pool, event, timer } = createRun({ tokensBefore: 100 });
  event(150);
  const [value = 0] = [pool.prefillUs.quantile(0.5, timer.now())];
  assert.ok(Math.abs(value - 150_000 / 4100) < 3);
  for (const before of [{ tokensBefore: 5000 }, {}]) {
    const other = createRun(before);
    other.event(150);
    assert.equal(other.pool.prefillUs.weight(150), 0);
  }
});

// Guards against a time per token that contains the steps of the first event.
test('the time of an event without prefill is not counted as prefill', () => {
  const { pool, event, timer } = createRun();
  event(150);
  for (let count = 0; count < 10; count += 1) event(30);
  const before = timer.now();
  pool.observePrefill(150, 4000, before + 300_000);
  const value = pool.prefillUs.quantile(0.5, before + 300_000) ?? 0;
  assert.ok(Math.abs(value - 30) < 2, `${value} microseconds`);
});

// Guards against streams that are counted for ever, or twice.
test('a stream counts as running until its end, which may be stated twice', () => {
  const { run, pool } = createRun();
  assert.equal(pool.runningTight, 1);
  run[Symbol.dispose]();
  run[Symbol.dispose]();
  assert.equal(pool.runningTight, 0);
});
