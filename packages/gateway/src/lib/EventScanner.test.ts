import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EventScanner } from './EventScanner';

function event(id: number): string {
  return `id: ${id}\ndata: text ${id}\n\n`;
}

test('only complete events are forwarded', () => {
  const scanner = new EventScanner();
  const bytes = Buffer.from(event(1) + event(2));
  const first = scanner.push(bytes.subarray(0, 30));
  assert.equal(first.bytes.toString(), event(1));
  assert.equal(scanner.hasPartialEvent, true);
  const second = scanner.push(bytes.subarray(30));
  assert.equal(second.bytes.toString(), event(2));
  assert.equal(second.lastId, '2');
  assert.equal(scanner.hasPartialEvent, false);
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
