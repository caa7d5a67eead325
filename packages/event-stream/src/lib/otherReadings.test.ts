import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { EventScanner } from './EventScanner';
import { IncreasingIds } from './IncreasingIds';

/** Texts that mean something to a reader, and that come together to events often. */
const pieces = fc.constantFrom(
  ...[
    '\n',
    '\r',
    '\r\n',
    '\n\n',
    '\r\r',
    'id: 1',
    'id: 2',
    'id:3',
    'id',
    'id: 04',
    'data: x',
    'data',
  ],
  ...['data:', ':', ': c', 'event: e', 'retry: 1', 'weight-versions: 2', '\ufeff', 'x', ' ', '\0'],
  ...['id: 1\ndata: a\n\n', 'id: 2\rdata: b\r\r', 'id: 3\r\ndata: c\r\n\r\n', 'id: 5\ndata: d\n\r'],
);

interface Part {
  readonly text: string;
  /** Whether another endpoint goes on with the stream before this part. */
  readonly isResumed: boolean;
  readonly chunkBytes: number;
}

const parts = fc.array(
  fc.record<Part>({
    text: fc.array(pieces, { maxLength: 12 }).map((texts) => texts.join('')),
    isResumed: fc.boolean(),
    chunkBytes: fc.integer({ min: 1, max: 40 }),
  }),
  { minLength: 1, maxLength: 4 },
);

function scan(list: readonly Part[], after: string | undefined): Buffer {
  const scanner = new EventScanner(new IncreasingIds(after));
  const forwarded: Buffer[] = [];
  for (const { text, isResumed, chunkBytes } of list) {
    if (isResumed) scanner.resume();
    const bytes = Buffer.from(text);
    for (let at = 0; at < bytes.length; at += chunkBytes) {
      forwarded.push(Buffer.from(scanner.push(bytes.subarray(at, at + chunkBytes)).bytes));
    }
  }
  return Buffer.concat(forwarded);
}

/** Ids of the blocks that a simple reader finds; undefined for a block that is no event with one id. */
function idsOf(text: string): (string | undefined)[] {
  const lines = text.split(/\r\n|\n|\r/);
  assert.equal(lines.pop(), '', 'a line without an end');
  const ids: (string | undefined)[] = [];
  let block: string[] = [];
  for (const line of lines) {
    if (line !== '') block.push(line);
    else {
      const found = block.filter((field) => /^id(:|$)/.test(field));
      const hasData = block.some((field) => /^data(:|$)/.test(field));
      ids.push(
        found.length === 1 && hasData ? /^id: ?(\d+)$/.exec(found[0] ?? '')?.[1] : undefined,
      );
      block = [];
    }
  }
  assert.deepEqual(block, [], 'a block without an end');
  return ids;
}

// Guards against a reader who finds a block that is no event, or events that don't increase, across resumptions.
test('parts of several endpoints in any splits hold only events with higher ids', () => {
  const property = fc.property(parts, fc.constantFrom(undefined, '0', '1', '2'), (list, after) => {
    const text = scan(list, after).toString('latin1');
    let last = after === undefined ? -1 : Number(after);
    for (const id of idsOf(text)) {
      assert.ok(id !== undefined && Number(id) > last, JSON.stringify(text));
      last = Number(id);
    }
  });
  fc.assert(property, { numRuns: 20_000, seed: 1 });
});

// Guards against one endpoint that takes the processor of the instance with CR as the end of its lines.
test('lines that end with CR cost about as much as those that end with LF', () => {
  const measure = (lineEnd: string): number => {
    const scanner = new EventScanner(new IncreasingIds(undefined));
    const bytes = Buffer.from(`:${lineEnd}`.repeat(512 * 1024));
    const startedAt = performance.now();
    scanner.push(bytes);
    return performance.now() - startedAt;
  };
  measure('\n');
  const withLineFeed = measure('\n');
  const withCarriageReturn = measure('\r');
  assert.ok(
    withCarriageReturn < 10 * withLineFeed,
    `${withCarriageReturn.toFixed(1)} ms instead of ${withLineFeed.toFixed(1)} ms`,
  );
});
