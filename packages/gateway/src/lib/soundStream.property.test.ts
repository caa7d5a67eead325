import assert from 'node:assert/strict';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import { test, type TestContext } from 'node:test';
import fc from 'fast-check';
import { readEventStream, type ReceivedEvent } from '@berylwood/testing';
import { FRAMINGS, RawStream, type Framing } from '../fixtures/rawStream';
import { createStreamGateway, type StreamGateway } from '../fixtures/streamGateway';

const EVENT_STREAM = 'text/event-stream';

/** Time within which an event must reach the caller after its blank line was written, in milliseconds. */
const ARRIVAL_LIMIT_MS = 2000;

/** A stream as a sound endpoint may write it. */
interface SoundStream {
  readonly isResumable: boolean;
  readonly framing: Framing;
  readonly contentType: string;
  /** Bytes of each event, with the comments and blocks without data that stand before it. */
  readonly events: readonly Buffer[];
  /** Bytes after the last event. */
  readonly tail: Buffer;
  /** Offsets from the end of an event's bytes at which they are split into writes. */
  readonly splits: readonly number[];
}

interface Outcome {
  readonly received: ReceivedEvent[];
  readonly end: string;
  /** Events that did not arrive before the next one was written. */
  readonly late: number[];
}

function split(bytes: Buffer, offsets: readonly number[]): Buffer[] {
  const cuts = offsets.map((offset) => Math.max(0, bytes.length - offset)).sort((a, b) => a - b);
  return [...cuts, bytes.length].map((cut, at) => bytes.subarray(cuts[at - 1] ?? 0, cut));
}

/** Writes a stream event by event, each once the one before has reached the caller. */
async function play(gateway: StreamGateway, stream: SoundStream): Promise<Outcome> {
  const { events, tail, splits, framing, contentType, isResumable } = stream;
  const late: number[] = [];
  let body: Buffer = Buffer.alloc(0);
  const hasArrived = async (count: number): Promise<boolean> => {
    const deadline = performance.now() + ARRIVAL_LIMIT_MS;
    while (readEventStream(body).length < count) {
      if (performance.now() > deadline) return false;
      await sleep(1);
    }
    return true;
  };
  let isEnded = (): void => {};
  const ended = new Promise<void>((resolve) => {
    isEnded = resolve;
  });
  const response = await gateway.call(
    async (socket, { attempt }) => {
      const raw = new RawStream(socket, framing);
      if (attempt > 0 || socket.destroyed) return;
      raw.writeHead([`Content-Type: ${contentType}`], Buffer.concat([...events, tail]).length);
      for (const [at, event] of events.entries()) {
        for (const part of split(event, splits)) {
          raw.write(part);
          await nextTurn();
        }
        if (late.length === 0 && !(await hasArrived(at + 1))) late.push(at + 1);
      }
      raw.write(tail);
      raw.end('orderly');
      isEnded();
    },
    {
      isResumable,
      lastEventId: 0,
      patience: async () => {
        await ended;
        await sleep(ARRIVAL_LIMIT_MS, undefined, { ref: false });
      },
      onBody: (bytes) => {
        body = bytes;
      },
    },
  );
  return { received: readEventStream(response.body), end: response.end, late };
}

function checkOutcome({ events, tail }: SoundStream, { received, end, late }: Outcome): void {
  const written = readEventStream(Buffer.concat([...events, tail]));
  assert.equal(written.length, events.length);
  assert.deepEqual(received, written);
  assert.deepEqual({ end, late }, { end: 'whole', late: [] });
}

async function startGateway(t: TestContext): Promise<StreamGateway> {
  const gateway = await createStreamGateway();
  t.after(() => gateway[Symbol.asyncDispose]());
  return gateway;
}

/** Ends of lines in turn; a blank line after CR may not start with LF, which would belong to that CR. */
class LineEnds {
  readonly #ends: readonly string[];

  #count = 0;

  #last = '';

  constructor(ends: readonly string[]) {
    this.#ends = ends;
  }

  next(isBlank = false): string {
    const end = this.#ends[this.#count % this.#ends.length] as string;
    this.#count += 1;
    this.#last = isBlank && this.#last === '\r' && end === '\n' ? '\r' : end;
    return this.#last;
  }
}

const line = fc.stringMatching(/^[\t -~\u00a0-\u07ff]{0,12}$/);

const dataLine = fc.oneof(
  fc.constant('data'),
  line.map((text) => `data:${text}`),
  line.map((text) => `data: ${text}`),
);

/** Blocks and lines that no reader takes for an event. */
const interlude = fc.constantFrom<readonly string[]>(
  [],
  [],
  [],
  [': ping', ''],
  [':', ''],
  [': ping'],
  ['retry: 100', ''],
  ['retry', ''],
  [''],
);

const eventLines = fc
  .record({
    interlude,
    unknown: fc.constantFrom([], [], ['weight-versions: 3'], ['weight-versions:4']),
    fields: fc.subarray(['event: token', 'event', 'retry: 100', ': comment', ':']),
    isIdFirst: fc.boolean(),
    separator: fc.constantFrom(': ', ':'),
    data: fc.array(dataLine, { minLength: 1, maxLength: 3 }),
    step: fc.integer({ min: 1, max: 120 }),
  })
  .map(({ step, ...parts }) => ({
    step,
    linesOf: (id: number): readonly string[] => {
      const idLine = `id${parts.separator}${id}`;
      const { fields, data } = parts;
      const rest = parts.isIdFirst ? [idLine, ...fields, ...data] : [...fields, ...data, idLine];
      return [...parts.interlude, ...parts.unknown, ...rest, ''];
    },
  }));

const soundStreams: fc.Arbitrary<SoundStream> = fc
  .record({
    isResumable: fc.boolean(),
    framing: fc.constantFrom(...FRAMINGS),
    contentType: fc.constant(EVENT_STREAM),
    hasMark: fc.boolean(),
    lineEnds: fc.array(fc.constantFrom('\n', '\r\n', '\r'), { minLength: 1, maxLength: 5 }),
    items: fc.array(eventLines, { minLength: 1, maxLength: 4 }),
    tailLines: interlude,
    splits: fc.array(fc.integer({ min: 1, max: 30 }), { maxLength: 4 }),
  })
  .map(({ hasMark, lineEnds, items, tailLines, ...rest }) => {
    const ends = new LineEnds(lineEnds);
    const render = (lines: readonly string[]): string =>
      lines.map((text) => text + ends.next(text === '')).join('');
    let id = 0;
    const texts = items.map(({ step, linesOf }) => {
      id += step;
      return render(linesOf(id));
    });
    const events = texts.map((text, at) =>
      Buffer.from(hasMark && at === 0 ? `\ufeff${text}` : text),
    );
    // A comment may stand without its blank line only before an event.
    const isBlock = tailLines.length === 0 || tailLines.at(-1) === '';
    return { ...rest, events, tail: Buffer.from(isBlock ? render(tailLines) : '') };
  });

test('sound streams pass whole, and each event before the next one is written', async (t) => {
  const gateway = await startGateway(t);
  const property = fc.asyncProperty(soundStreams, async (stream) => {
    checkOutcome(stream, await play(gateway, stream));
  });
  // A failing run waits for its events, so that shrinking it would take minutes.
  const options = { endOnFailure: true, includeErrorInReport: true };
  await fc.assert(property, { seed: 1, numRuns: 500, ...options });
});

const forms: Readonly<Record<string, readonly string[]>> = {
  'LF as the end of lines': ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'],
  'CRLF as the end of lines': ['id: 1\r\ndata: a\r\n\r\n', 'id: 2\r\ndata: b\r\n\r\n'],
  'CR as the end of lines': ['id: 1\rdata: a\r\r', 'id: 2\rdata: b\r\r'],
  'mixed ends of lines': ['id: 1\rdata: a\r\n\r', 'id: 2\ndata: b\n\r', 'id: 3\r\ndata: c\r\r\n'],
  'CRLF after a line that ends with LF': ['id: 1\ndata: a\n\r\n', 'id: 2\ndata: b\r\n\n'],
  'a byte order mark': ['\ufeffid: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'],
  'blocks of comments': ['id: 1\ndata: a\n\n', ': ping\n\nid: 2\ndata: b\n\n'],
  'fields of type and retry': ['event: token\nretry: 9\nid: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'],
  'a block of retry alone': ['retry: 9\n\nid: 1\ndata: a\n\n', 'retry: 9\n\nid: 2\ndata: b\n\n'],
  'data without a colon': ['id: 1\ndata\n\n', 'id: 2\ndata: b\ndata\n\n'],
  'an unknown field before the id': [
    'id: 1\ndata: a\n\n',
    'weight-versions: 3\nid: 2\ndata: b\n\n',
  ],
  'an id after the data': ['data: a\nid: 1\n\n', 'data: b\nid: 2\n\n'],
  'stray blank lines': ['\nid: 1\ndata: a\n\n', '\r\n\r\nid: 2\ndata: b\n\n'],
};

function createSoundStream(
  texts: readonly string[],
  fields: Partial<SoundStream> = {},
): SoundStream {
  const events = texts.map((text) => Buffer.from(text));
  const tail = Buffer.alloc(0);
  const defaults = { isResumable: false, framing: 'chunked', contentType: EVENT_STREAM } as const;
  return { ...defaults, events, tail, splits: [], ...fields };
}

for (const [name, texts] of Object.entries(forms)) {
  for (const splits of [[], [1], [1, 2, 3, 4]]) {
    const writes = splits.length === 0 ? 'one write' : `${splits.length + 1} writes`;
    test(`a stream with ${name} passes whole, each event in ${writes}`, async (t) => {
      const gateway = await startGateway(t);
      const stream = createSoundStream(texts, { splits });
      checkOutcome(stream, await play(gateway, stream));
    });
  }
}

for (const contentType of ['Text/Event-Stream', 'text/event-stream; charset=utf-8']) {
  test(`a stream of the type ${contentType} passes whole, event by event`, async (t) => {
    const gateway = await startGateway(t);
    const stream = createSoundStream(['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'], { contentType });
    checkOutcome(stream, await play(gateway, stream));
  });
}
