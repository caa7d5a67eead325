import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { EventScanner } from './EventScanner';

function event(id: number): string {
  return `id: ${id}\ndata: text ${id}\n\n`;
}

test('only complete events are forwarded', () => {
  const scanner = new EventScanner();
  const bytes = Buffer.from(event(1) + event(2));
  const first = scanner.push(bytes.subarray(0, 30));
  assert.equal(first.bytes.toString(), event(1));
  assert.equal(scanner.partialEventBytes > 0, true);
  const second = scanner.push(bytes.subarray(30));
  assert.equal(second.bytes.toString(), event(2));
  assert.equal(second.lastId, '2');
  assert.equal(scanner.partialEventBytes, 0);
});

test('a stream split at any byte yields the same events', () => {
  const bytes = Buffer.from(event(1) + event(2) + event(3));
  for (let cut = 0; cut <= bytes.length; cut += 1) {
    const scanner = new EventScanner();
    const parts = [scanner.push(bytes.subarray(0, cut)), scanner.push(bytes.subarray(cut))];
    assert.equal(Buffer.concat(parts.map((part) => part.bytes)).toString(), bytes.toString());
  }
});

test('a resumed stream skips events already forwarded and replaces the partial event', () => {
  const scanner = new EventScanner();
  scanner.push(Buffer.from(`${event(1)}${event(2)}id: 3\nda`));
  scanner.dropPartialEvent();
  const resumed = scanner.push(Buffer.from(event(2) + event(3)));
  assert.equal(resumed.bytes.toString(), event(3));
});

test('an event that never ends costs time linear in its bytes', () => {
  const scanner = new EventScanner();
  const chunk = Buffer.alloc(1024, 'x');
  const startedAt = performance.now();
  for (let count = 0; count < 16 * 1024; count += 1) scanner.push(chunk);
  assert.equal(scanner.partialEventBytes, 16 * 1024 * 1024);
  // Copying the event with each chunk would move 128 GiB.
  assert.ok(performance.now() - startedAt < 2000);
});

test('events are found however their bytes are split', () => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\nid: 4\ndata: d';
  const bytes = Buffer.from(text);
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { maxLength: 60 }), (sizes) => {
      const scanner = new EventScanner();
      let received = '';
      let from = 0;
      for (const size of [...sizes, bytes.length]) {
        received += scanner.push(bytes.subarray(from, from + size)).bytes.toString();
        from += size;
      }
      assert.equal(received, text.slice(0, text.indexOf('id: 4')));
      assert.equal(scanner.partialEventBytes, 'id: 4\ndata: d'.length);
      assert.equal(scanner.lastId, '3');
    }),
    { seed: 20261204, numRuns: 500 },
  );
});
