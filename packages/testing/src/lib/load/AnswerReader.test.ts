import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AnswerReader } from './AnswerReader';

const STREAM = 'text/event-stream';

function event(content: string): string {
  return `data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`;
}

test('a stream is read as its pieces come, whatever they are cut at', () => {
  const reader = new AnswerReader();
  reader.begin(200, STREAM);
  const whole = `${event('a ')}: comment\n\n${event('b ')}data: [DONE]\n\n`;
  reader.read(whole.slice(0, 20), 10);
  reader.read(whole.slice(20, 70), 20);
  reader.read(whole.slice(70), 30);
  reader.end(40);
  assert.deepEqual([reader.text, reader.tokens, reader.isWhole], ['a b ', 2, true]);
  assert.deepEqual([reader.firstTokenAt, reader.lastTokenAt], [20, 30]);
});

test('a stream without its last event is not whole, and an error event is kept', () => {
  const reader = new AnswerReader();
  reader.begin(200, STREAM);
  const error = { type: 'endpointFailed', not_run: false };
  reader.read(`${event('a ')}data: ${JSON.stringify({ error })}\n\n`, 10);
  reader.end(20);
  assert.equal(reader.isWhole, false);
  assert.deepEqual(reader.error, error);
});

test('a whole answer has its text from the message, or the echo of a plain service', () => {
  const bodies = [{ choices: [{ message: { content: 'hello' } }] }, { echo: 'hello' }];
  for (const body of bodies) {
    const reader = new AnswerReader();
    reader.begin(200, 'application/json');
    reader.read(JSON.stringify(body), 10);
    reader.end(20);
    assert.deepEqual([reader.text, reader.isWhole, reader.firstTokenAt], ['hello', true, 20]);
  }
});

test('a refusal has its error and no token', () => {
  const reader = new AnswerReader();
  reader.begin(429, 'application/json');
  reader.read(JSON.stringify({ error: { type: 'overloaded', not_run: true } }), 10);
  reader.end(20);
  assert.deepEqual(
    [reader.isWhole, reader.error?.type, reader.firstTokenAt],
    [false, 'overloaded', 0],
  );
});
