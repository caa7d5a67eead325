import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualTimer } from '@berylwood/base';
import { Batch, type BatchOptions, type Generation } from './Batch';

function createBatch(options: Partial<BatchOptions> = {}): { timer: VirtualTimer; batch: Batch } {
  const timer = new VirtualTimer();
  const batch = new Batch({ timer, slots: 2, prefillRate: 1000, decodeRate: 100, ...options });
  return { timer, batch };
}

class Stream implements Generation {
  readonly priority: number;

  readonly promptTokens = 100;

  readonly answerTokens = 50;

  tokens = 0;

  aborted = false;

  constructor(
    readonly id: string,
    priority = 1,
    readonly cached = 0,
  ) {
    this.priority = priority;
  }

  readonly findCached = (): number => this.cached;

  readonly onProgress = (tokens: number): void => {
    this.tokens = tokens;
  };

  readonly onAbort = (): void => {
    this.aborted = true;
  };
}

test('a generation waits for its prefill, then decodes at its rate', () => {
  const { timer, batch } = createBatch();
  const stream = new Stream('a');
  batch.submit(stream);
  timer.advance(100);
  assert.ok(stream.tokens <= 1);
  timer.advance(200);
  assert.ok(stream.tokens >= 19 && stream.tokens <= 21, String(stream.tokens));
});

test('cached prompt tokens need no prefill', () => {
  const { timer, batch } = createBatch();
  const stream = new Stream('a', 1, 100);
  batch.submit(stream);
  timer.advance(100);
  assert.ok(stream.tokens >= 9, String(stream.tokens));
});

test('more important generations get a slot first', () => {
  const { timer, batch } = createBatch({ slots: 1 });
  const streams = [new Stream('a', 5), new Stream('b', 5), new Stream('c', 1)];
  for (const stream of streams) batch.submit(stream);
  timer.advance(700);
  assert.deepEqual(
    streams.map(({ tokens }) => tokens > 0),
    [true, false, true],
  );
});

test('a paused generation frees its slot and keeps its progress', () => {
  const { timer, batch } = createBatch({ slots: 1 });
  const [first, second] = [new Stream('a'), new Stream('b')];
  batch.submit(first);
  batch.submit(second);
  timer.advance(300);
  const { tokens } = first;
  assert.ok(batch.pause('a'));
  timer.advance(600);
  assert.equal(first.tokens, tokens);
  assert.equal(second.tokens, 50);
  assert.ok(batch.unpause('a'));
  timer.advance(20);
  assert.ok(first.tokens > tokens, 'goes on without another prefill');
});

test('a cancelled generation is told so and frees its slot', () => {
  const { batch } = createBatch({ slots: 1 });
  const stream = new Stream('a');
  batch.submit(stream);
  assert.ok(batch.cancel('a'));
  assert.ok(stream.aborted);
  assert.equal(batch.runningCount, 0);
  assert.equal(batch.cancel('a'), false);
});

test('streams slow each other down by the batch slowdown, and all by the speed', () => {
  const { timer, batch } = createBatch({ batchSlowdown: 1 });
  const [first, second] = [new Stream('a', 1, 100), new Stream('b', 1, 100)];
  batch.submit(first);
  batch.submit(second);
  timer.advance(200);
  assert.ok(first.tokens >= 9 && first.tokens <= 11, String(first.tokens));
  batch.speed = 0.1;
  const { tokens } = first;
  timer.advance(200);
  assert.ok(first.tokens - tokens <= 2);
});
