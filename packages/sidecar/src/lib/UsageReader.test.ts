import assert from 'node:assert/strict';
import test from 'node:test';
import { UsageReader } from './UsageReader';

const RESPONSE =
  '{"choices":[{"message":{"content":"a.0 "}}],"usage":{"prompt_tokens":3,"completion_tokens":2}}';

function createReader(...chunks: string[]): UsageReader {
  const reader = new UsageReader();
  for (const chunk of chunks) reader.read(Buffer.from(chunk));
  return reader;
}

test('the usage of a response is read wherever it is split into chunks', () => {
  for (let splitAt = 0; splitAt <= RESPONSE.length; splitAt += 1) {
    const { work } = createReader(RESPONSE.slice(0, splitAt), RESPONSE.slice(splitAt));
    assert.deepEqual(work, { inputTokens: 3, outputTokens: 2, cachedTokens: 0 });
  }
});

test('a response without usage has no work', () => {
  const work = { inputTokens: 0, outputTokens: 0, cachedTokens: 0 };
  assert.deepEqual(createReader('{"choices":[]}').work, work);
});
