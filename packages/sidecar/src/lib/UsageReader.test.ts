import assert from 'node:assert/strict';
import test from 'node:test';
import { UsageReader } from './UsageReader';

const TOKEN = 'data: {"choices":[{"delta":{"content":"a.0 "}}]}\n\n';
const USAGE = 'data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}}\n\n';
const ANSWER = `${TOKEN}${TOKEN}${USAGE}data: [DONE]\n\n`;

function createReader(...chunks: string[]): UsageReader {
  const reader = new UsageReader('text/event-stream');
  for (const chunk of chunks) reader.read(Buffer.from(chunk));
  return reader;
}

test('counts tokens and trailing bytes correctly wherever the response is split into chunks', () => {
  for (let cut = 0; cut <= ANSWER.length; cut += 1) {
    const before = createReader(ANSWER.slice(0, cut));
    const kept = before.tokens * TOKEN.length + before.bytesAfterToken;
    assert.equal(kept, cut, `cut at ${cut}`);
    const whole = createReader(ANSWER.slice(0, cut), ANSWER.slice(cut));
    assert.equal(whole.tokens, 2, `cut at ${cut}`);
    assert.deepEqual(whole.work, { inputTokens: 3, outputTokens: 2, cachedTokens: 0 });
  }
});
