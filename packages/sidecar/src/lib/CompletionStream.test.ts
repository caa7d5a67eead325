import assert from 'node:assert/strict';
import test from 'node:test';
import { asId } from '@berylwood/base';
import { MAX_EVENT_BYTES } from '@berylwood/event-stream';
import { CompletionStream } from './CompletionStream';

const RUN = 'run-1';
const TOKEN = `data: {"id":"${RUN}","choices":[{"delta":{"content":"a.0 [DONE]"}}]}\n\n`;
const USAGE = `data: {"id":"${RUN}","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}}\n\n`;
const END = 'data: [DONE]\n\n';
const RESPONSE = `${TOKEN}${TOKEN}${USAGE}${END}`;

function createStream(): CompletionStream {
  return new CompletionStream(asId(RUN));
}

function read(stream: CompletionStream, text: string): string {
  return stream.read(Buffer.from(text)).toString();
}

test('events and tokens are counted correctly wherever the response is split', () => {
  for (let splitAt = 0; splitAt <= RESPONSE.length; splitAt += 1) {
    const stream = createStream();
    const start = read(stream, RESPONSE.slice(0, splitAt));
    const wholeEvents = RESPONSE.slice(0, splitAt).lastIndexOf('\n\n') + 2;
    assert.equal(start.length, wholeEvents < 2 ? 0 : wholeEvents, `split at ${splitAt}`);
    assert.equal(start + read(stream, RESPONSE.slice(splitAt)), RESPONSE);
    assert.deepEqual([stream.tokens, stream.hasEnded], [2, true], `split at ${splitAt}`);
    assert.deepEqual(stream.work, { inputTokens: 3, outputTokens: 2, cachedTokens: 0 });
  }
});

test('a stream resumed after its last token repeats nothing wherever it was cut', () => {
  for (let cutAt = 0; cutAt < RESPONSE.length; cutAt += 1) {
    const stream = createStream();
    const start = read(stream, RESPONSE.slice(0, cutAt));
    const rest = RESPONSE.slice(stream.tokens * TOKEN.length);
    if (stream.hasEnded) continue;
    stream.resume();
    assert.equal(start + read(stream, rest), RESPONSE, `cut at ${cutAt}`);
    assert.deepEqual([stream.tokens, stream.hasEnded], [2, true]);
  }
});

test('an engine that reports no usage is charged for the counted tokens', () => {
  const stream = createStream();
  read(stream, `${TOKEN}${TOKEN}${END}`);
  assert.deepEqual(stream.work, { inputTokens: 0, outputTokens: 2, cachedTokens: 0 });
});

test('events that are not of the run end the reading and count as nothing', () => {
  const foreign = [
    TOKEN.replace(RUN, 'run-2'),
    'data: {"choices":[]}\n\n',
    'data: null\n\n',
    'data: 1\n\n',
    'data: x\n\n',
    'data\n\n',
    `id: 1\n${TOKEN}`,
    `: x${TOKEN}`,
    `retry: 9${TOKEN}`,
    TOKEN.replace('}\n\n', '}x\n\n'),
  ];
  for (const text of foreign) {
    const stream = createStream();
    assert.equal(read(stream, `${TOKEN}${text}${TOKEN}`), TOKEN, text);
    assert.equal(stream.tokens, 1);
    assert.notEqual(stream.problem, undefined);
    assert.equal(read(stream, TOKEN), '');
    stream.resume();
    assert.equal(stream.problem, undefined);
    assert.equal(read(stream, TOKEN), TOKEN);
  }
});

test('an event after the end marker is not forwarded', () => {
  const stream = createStream();
  assert.equal(read(stream, `${RESPONSE}${TOKEN}`), RESPONSE);
  assert.deepEqual([stream.tokens, stream.hasEnded], [2, true]);
});

test('the LF of an event that ended with CR is forwarded with it', () => {
  const stream = createStream();
  const event = TOKEN.replaceAll('\n', '\r\n');
  const parts = [...event].map((character) => read(stream, character));
  assert.equal(parts.join(''), event);
  assert.equal(stream.tokens, 1);
});

test('an event that exceeds its limit ends the reading', () => {
  const stream = createStream();
  read(stream, `data: ${'x'.repeat(MAX_EVENT_BYTES)}`);
  assert.match(stream.problem ?? '', /maxEventBytes/);
});
