import assert from 'node:assert/strict';
import test from 'node:test';
import { UsageReader } from './UsageReader';

const TOKEN = 'data: {"choices":[{"delta":{"content":"a.0 "}}]}\n\n';
const USAGE = 'data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}}\n\n';
const RESPONSE = `${TOKEN}${TOKEN}${USAGE}data: [DONE]\n\n`;

function createReader(...chunks: string[]): UsageReader {
  const reader = new UsageReader('text/event-stream');
  for (const chunk of chunks) reader.read(Buffer.from(chunk));
  return reader;
}

test('counts tokens and trailing bytes correctly wherever the response is split into chunks', () => {
  for (let splitAt = 0; splitAt <= RESPONSE.length; splitAt += 1) {
    const before = createReader(RESPONSE.slice(0, splitAt));
    const receivedBytes = before.tokens * TOKEN.length + before.bytesAfterToken;
    assert.equal(receivedBytes, splitAt, `split at ${splitAt}`);
    const whole = createReader(RESPONSE.slice(0, splitAt), RESPONSE.slice(splitAt));
    assert.equal(whole.tokens, 2, `split at ${splitAt}`);
    assert.deepEqual(whole.work, { inputTokens: 3, outputTokens: 2, cachedTokens: 0 });
  }
});
