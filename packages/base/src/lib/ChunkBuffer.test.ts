import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ChunkBuffer } from './ChunkBuffer';
import { Random } from './Random';

function fill(sizes: readonly number[]): { buffer: ChunkBuffer; expected: Buffer } {
  const buffer = new ChunkBuffer();
  const chunks = sizes.map((size, index) => Buffer.alloc(size, index % 251));
  for (const chunk of chunks) buffer.push(chunk);
  return { buffer, expected: Buffer.concat(chunks) };
}

// Guards against bytes that are lost, repeated or reordered where segments meet.
test('chunks of any sizes are joined in order', () => {
  const random = new Random(1);
  for (let round = 0; round < 200; round += 1) {
    const count = Math.floor(random.between(0, 40));
    const sizes = Array.from({ length: count }, () =>
      Math.floor(random.between(0, random.next() < 0.5 ? 20 : 40_000)),
    );
    const { buffer, expected } = fill(sizes);
    assert.equal(buffer.length, expected.length);
    assert.ok(buffer.heldBytes >= expected.length);
    assert.ok(buffer.take().equals(expected), `sizes ${sizes.join(', ')}`);
    assert.equal(buffer.heldBytes, 0);
  }
});

// Guards against memory of a hundred times the bytes of a body.
test('chunks of one byte take little more memory than their bytes', () => {
  const { buffer } = fill(Array.from({ length: 100_000 }, () => 1));
  assert.ok(buffer.heldBytes < 120_000, `${buffer.heldBytes} bytes`);
});

// Guards against a copy of each ordinary body.
test('a body of one chunk is not copied', () => {
  const buffer = new ChunkBuffer();
  const chunk = Buffer.from('prompt');
  buffer.push(chunk);
  assert.equal(buffer.take(), chunk);
});
