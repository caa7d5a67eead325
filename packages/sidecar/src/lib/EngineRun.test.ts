import assert from 'node:assert/strict';
import test from 'node:test';
import {
  SinkRecord,
  TEST_TIMEOUT,
  assertWhole,
  createEngine,
  createToken,
  encode,
  soundResponse,
  valuesOf,
  type Script,
} from '../fixtures/scriptedRun';
import { EndpointError } from './Endpoint';

test('each event is forwarded as soon as its blank line arrived', TEST_TIMEOUT, async (t) => {
  const { run } = await createEngine(t);
  for (const lineEnd of ['\n', '\r\n', '\r']) {
    const sink = new SinkRecord();
    const texts = ['a', 'b'];
    let forwardedAt = 0;
    sink.onData = () => {
      forwardedAt ||= performance.now();
    };
    const startedAt = performance.now();
    // The engine falls silent after its first event, so the rest comes only once the stream has stalled.
    const outcome = await run(
      (stream, offset, calls) =>
        calls === 1
          ? { parts: [encode(createToken(stream, 'a'), lineEnd)], ending: 'silent' }
          : soundResponse(stream, texts, offset),
      { sink },
    );
    assertWhole(outcome, texts);
    assert.ok(forwardedAt - startedAt < 1000, `${forwardedAt - startedAt} ms`);
  }
});

test('a stream that breaks between its last events is resumed without repetition', async (t) => {
  const { run } = await createEngine(t);
  const texts = ['a', 'b'];
  const whole = Buffer.concat(valuesOf('run-0', texts).map((value) => encode(value)));
  for (let cutAt = 0; cutAt <= whole.length; cutAt += 1) {
    const outcome = await run((stream, offset, calls) => {
      if (calls > 1) return soundResponse(stream, texts, offset);
      const bytes = Buffer.concat(valuesOf(stream, texts).map((value) => encode(value)));
      return { parts: [bytes.subarray(0, cutAt)], ending: 'cut' };
    });
    assertWhole(outcome, texts);
  }
});

test('a stream that ends in order before its end marker is resumed', async (t) => {
  const { run } = await createEngine(t);
  const texts = ['a', 'b'];
  const outcome = await run((stream, offset, calls) =>
    calls === 1
      ? { parts: [encode(createToken(stream, 'a'))] }
      : soundResponse(stream, texts, offset),
  );
  assertWhole(outcome, texts);
});

// Guards against a body of another kind that reached the caller of a stream.
test('a success that is no stream of events fails a run that asked for one', async (t) => {
  const { run } = await createEngine(t);
  const types: Record<string, string>[] = [
    {},
    { 'content-type': 'text/plain' },
    { 'content-type': 'application/json' },
    { 'content-type': 'text/event-streamx' },
    { 'content-type': 'text/event-stream', 'content-encoding': 'gzip' },
  ];
  for (const headers of types) {
    for (const ending of ['complete', 'cut', 'silent'] as const) {
      const parts = [Buffer.from('data: x\n\n')];
      const { sink, error } = await run(() => ({ headers, parts, ending }));
      assert.ok(error instanceof EndpointError, JSON.stringify(headers));
      assert.deepEqual([sink.status, sink.bytes.length], [0, 0]);
    }
  }
});

test('the type of a stream is read in any case, and its length is not forwarded', async (t) => {
  const { run } = await createEngine(t);
  const outcome = await run((stream) => {
    const parts = [Buffer.from('\ufeff'), ...soundResponse(stream, ['a'], 0).parts];
    const { length } = Buffer.concat(parts);
    const headers = {
      'content-type': 'Text/Event-Stream; charset=utf-8',
      'content-length': `${length}`,
    };
    return { headers, parts };
  });
  assertWhole(outcome, ['a']);
  assert.equal(outcome.sink.headers['content-length'], undefined);
});

test('a response that is no stream passes unchanged where none was asked for', async (t) => {
  const { run } = await createEngine(t);
  const text = '{"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}}';
  const headers = { 'content-type': 'application/json', 'content-length': `${text.length}` };
  const script: Script = () => ({ headers, parts: [Buffer.from(text)] });
  const { sink, work } = await run(script, { body: '{"messages":[]}' });
  assert.deepEqual([sink.bytes.toString(), sink.headers], [text, headers]);
  assert.deepEqual(work, { inputTokens: 3, outputTokens: 2, cachedTokens: 0 });
});

test('an error of an engine passes unchanged to a caller that asked for a stream', async (t) => {
  const { run } = await createEngine(t);
  const headers = { 'content-type': 'application/json' };
  const parts = [Buffer.from('{"error":"no such model"}')];
  const { sink, error } = await run(() => ({ status: 400, headers, parts }));
  assert.equal(error, undefined);
  assert.deepEqual([sink.status, sink.bytes], [400, parts[0]]);
});

// Guards against the memory that an event without an end would take.
test('an event that never ends fails the run', TEST_TIMEOUT, async (t) => {
  const { run } = await createEngine(t);
  const parts = Array.from({ length: 80 }, () => Buffer.alloc(16 * 1024, 'data: x\n'));
  const { sink, error } = await run((_, __, calls) =>
    calls === 1 ? { parts, ending: 'silent' } : { status: 404, parts: [] },
  );
  assert.match(String(error), /maxEventBytes|no such stream/);
  assert.equal(sink.bytes.length, 0);
});
