import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { EventScanner } from './EventScanner';
import { IncreasingIds } from './IncreasingIds';

function event(id: number): string {
  return `id: ${id}\ndata: text ${id}\n\n`;
}

test('only complete events are forwarded', () => {
  const scanner = new EventScanner(new IncreasingIds(undefined));
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
    const scanner = new EventScanner(new IncreasingIds(undefined));
    const parts = [scanner.push(bytes.subarray(0, cut)), scanner.push(bytes.subarray(cut))];
    assert.equal(Buffer.concat(parts.map((part) => part.bytes)).toString(), bytes.toString());
  }
});

test('a resumed stream skips events already forwarded and replaces the partial event', () => {
  const scanner = new EventScanner(new IncreasingIds(undefined));
  scanner.push(Buffer.from(`${event(1)}${event(2)}id: 3\nda`));
  scanner.resume();
  const resumed = scanner.push(Buffer.from(event(2) + event(3)));
  assert.equal(resumed.bytes.toString(), event(3));
});

test('an event that never ends costs time linear in its bytes', () => {
  const scanner = new EventScanner(new IncreasingIds(undefined));
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
      const scanner = new EventScanner(new IncreasingIds(undefined));
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

/** Sound events in the forms that an endpoint may choose, with comments between them. */
const soundStreams = fc
  .array(
    fc.record({
      lineEnd: fc.constantFrom('\n', '\r\n'),
      first: fc.constantFrom('', 'weight-versions: 3', 'event: token', ': comment'),
      step: fc.integer({ min: 1, max: 5 }),
      data: fc.array(fc.stringMatching(/^[ -~\u00a0-\u07ff]{0,20}$/), {
        minLength: 1,
        maxLength: 3,
      }),
      comment: fc.constantFrom('', ': ping\n\n', '\n\n'),
    }),
    { minLength: 1, maxLength: 8 },
  )
  .map((items) => {
    let id = 0;
    return items.map(({ lineEnd, first, step, data, comment }) => {
      id += step;
      const lines = [first, `id: ${id}`, ...data.map((text) => `data: ${text}`)];
      const block = lines.filter((line) => line !== '').join(lineEnd);
      return { event: `${block}${lineEnd}${lineEnd}`, comment };
    });
  });

test('all events of a sound stream are forwarded unchanged, however they are split', () => {
  const property = fc.property(soundStreams, fc.integer({ min: 1, max: 40 }), (items, size) => {
    const bytes = Buffer.from(items.map(({ event: text, comment }) => text + comment).join(''));
    const scanner = new EventScanner(new IncreasingIds(undefined));
    let received = '';
    for (let from = 0; from < bytes.length; from += size) {
      received += scanner.push(bytes.subarray(from, from + size)).bytes.toString();
    }
    assert.equal(scanner.problem, undefined);
    assert.equal(received, items.map(({ event: text }) => text).join(''));
  });
  fc.assert(property, { numRuns: 500, seed: 1 });
});

// Guards against pieces that no run made: foreign bytes between events, whole or split.
test('foreign bytes between events are not forwarded', () => {
  const foreign = fc.oneof(
    fc.uint8Array({ minLength: 1, maxLength: 40 }).map((bytes) => Buffer.from(bytes)),
    fc.string({ unit: 'binary' }).map((text) => Buffer.from(`${text}\n\n`)),
    fc
      .constantFrom('id: \ndata: x\n\n', 'id: 1e3\ndata: x\n\n', 'data: x\n\n', 'id: 9\n\n')
      .map((text) => Buffer.from(text)),
  );
  const property = fc.property(soundStreams, fc.nat(8), foreign, (items, position, bytes) => {
    // A byte before the name of another field only makes it an unknown field, which is allowed.
    const events = items.map((item) => item.event).filter((text) => text.startsWith('id:'));
    const at = Math.min(position, events.length);
    const parts = [...events.slice(0, at), bytes, ...events.slice(at)];
    const scanner = new EventScanner(new IncreasingIds(undefined));
    const received = parts.map((part) => scanner.push(Buffer.from(part)).bytes.toString()).join('');
    const isSound = events.some((_, count) => received === events.slice(0, count + 1).join(''));
    assert.ok(received === '' || isSound, JSON.stringify(received));
  });
  fc.assert(property, { numRuns: 3000, seed: 1 });
});

test('an id that does not increase ends the stream, unless it is resumed', () => {
  const scanner = new EventScanner(new IncreasingIds(undefined));
  scanner.push(Buffer.from(event(1) + event(2)));
  assert.equal(scanner.push(Buffer.from(event(2))).bytes.length, 0);
  assert.match(scanner.problem ?? '', /id 2 after 2/);
  scanner.resume();
  assert.equal(scanner.push(Buffer.from(event(2) + event(3))).bytes.toString(), event(3));
  scanner.push(Buffer.from(event(1)));
  assert.match(scanner.problem ?? '', /id 1 after 3/);
});

test('blank lines at the end of a stream are no incomplete event', () => {
  const scanner = new EventScanner(new IncreasingIds(undefined));
  scanner.push(Buffer.from(`${event(1)}\r\n`));
  assert.equal(scanner.hasPartialEvent, false);
  scanner.push(Buffer.from('i'));
  assert.equal(scanner.hasPartialEvent, true);
});
