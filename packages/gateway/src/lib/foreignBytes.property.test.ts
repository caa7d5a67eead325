import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { test, type TestContext } from 'node:test';
import fc from 'fast-check';
import { readEventStream } from '@berylwood/testing';
import { findForeignEvents, type RunEvent } from '../fixtures/findForeignEvents';
import { ENDINGS, FRAMINGS, RawStream, type Ending, type Framing } from '../fixtures/rawStream';
import {
  createStreamGateway,
  type ReceivedResponse,
  type StreamGateway,
  type StreamScript,
} from '../fixtures/streamGateway';

const EVENT_STREAM = 'Content-Type: text/event-stream';

/** Time for which a caller waits for the rest of a response after all was written, in milliseconds. */
const PATIENCE_MS = 2000;

/** The same where the endpoint leaves the connection open, so that nothing more may come. */
const SILENT_PATIENCE_MS = 10;

const PAUSE_MS = 2;

const SUCCESS = { min: 200, max: 299 };

/** The response of an endpoint that puts foreign bytes into its stream. */
interface SpoiledStream {
  readonly isResumable: boolean;
  /** Id that the caller sends as `Last-Event-Id`; 0 for a new stream. */
  readonly lastEventId: number;
  readonly ids: readonly number[];
  readonly lineEnd: string;
  readonly foreign: Buffer;
  /** Event at which the foreign bytes stand; past the last one, after it. */
  readonly position: number;
  /** Offset of the foreign bytes in that event; 0 for before it. */
  readonly offset: number;
  /** Whether the framing counts the foreign bytes. */
  readonly isFramed: boolean;
  readonly headers: readonly string[];
  readonly framing: Framing;
  readonly ending: Ending;
  /** Fraction of the bytes that is written before a reset or a silent end. */
  readonly writtenShare: number;
  /** Fractions of the bytes at which they are split into writes. */
  readonly splits: readonly number[];
  readonly pauses: boolean;
}

const dataOf = (id: number): string => `piece ${id}`;

function createEvent(id: number, lineEnd = '\n'): Buffer {
  return Buffer.from(`id: ${id}${lineEnd}data: ${dataOf(id)}${lineEnd}${lineEnd}`);
}

/** The bytes around the foreign ones. */
function surroundingsOf({ ids, lineEnd, position, offset }: SpoiledStream): [Buffer, Buffer] {
  const events = ids.map((id) => createEvent(id, lineEnd));
  const bytes = Buffer.concat(events);
  const before = events.slice(0, position).reduce((sum, { length }) => sum + length, 0);
  const at = Math.min(bytes.length, before + offset);
  return [bytes.subarray(0, at), bytes.subarray(at)];
}

/** The run's events; foreign bytes inside one may not be told from its data. */
function runOf({ ids, position, offset }: SpoiledStream): RunEvent[] {
  return ids.map((id, at) => ({
    id,
    data: at === position && offset > 0 ? undefined : dataOf(id),
  }));
}

/**
 * Whether the foreign bytes make events that only the run itself can tell from its own: with an id of their own that
 * increases.
 */
function isIndistinguishable(stream: SpoiledStream): boolean {
  const [before, after] = surroundingsOf(stream);
  const bytes = Buffer.concat([before, stream.foreign, after]);
  const run = new Map(runOf(stream).map(({ id, data }) => [id, data]));
  // A run may begin with the id 0.
  let last = stream.lastEventId > 0 ? stream.lastEventId : -1;
  for (const { id: text, hasOwnId, data } of readEventStream(bytes)) {
    const id = Number(text);
    if (!hasOwnId || String(id) !== text || id <= last) return false;
    if (!run.has(id) || (run.get(id) ?? data) !== data) return true;
    last = id;
  }
  return false;
}

/** Bytes that the framing counts, or foreign bytes that it does not count. */
interface Part {
  readonly bytes: Buffer;
  readonly isFramed: boolean;
}

function partsOf(stream: SpoiledStream): Part[] {
  const [before, after] = surroundingsOf(stream);
  const { foreign } = stream;
  if (stream.isFramed) return [{ bytes: Buffer.concat([before, foreign, after]), isFramed: true }];
  return [
    { bytes: before, isFramed: true },
    { bytes: foreign, isFramed: false },
    { bytes: after, isFramed: true },
  ];
}

/** Splits bytes at fractions of their length. */
function split(bytes: Buffer, fractions: readonly number[]): Buffer[] {
  const cuts = [...fractions].sort((a, b) => a - b).map((at) => Math.floor(at * bytes.length));
  return [...cuts, bytes.length].map((cut, at) => bytes.subarray(cuts[at - 1] ?? 0, cut));
}

/** Writes the spoiled stream at first, and then the rest of the run as another endpoint would. */
function createScript(stream: SpoiledStream, onWritten: () => void): StreamScript {
  return async (socket, { lastEventId, attempt }) => {
    const { framing, headers, ending, writtenShare, splits, pauses } = stream;
    const raw = new RawStream(socket, attempt === 0 ? framing : 'chunked');
    if (attempt > 0) {
      raw.writeHead([EVENT_STREAM], 0);
      for (const id of stream.ids) if (id > lastEventId) raw.write(createEvent(id));
      raw.end('orderly');
      return;
    }
    const parts = partsOf(stream);
    const sizeOf = (some: readonly Part[]) =>
      some.reduce((sum, { bytes }) => sum + bytes.length, 0);
    raw.writeHead(headers, sizeOf(parts.filter(({ isFramed }) => isFramed)));
    let left = ending === 'orderly' ? Infinity : Math.ceil(writtenShare * sizeOf(parts));
    for (const { bytes, isFramed } of parts) {
      const written = bytes.subarray(0, left);
      left -= written.length;
      for (const piece of isFramed ? split(written, splits) : [written]) {
        if (isFramed) raw.write(piece);
        else raw.writeUnframed(piece);
        if (pauses) await sleep(PAUSE_MS);
      }
    }
    raw.end(ending);
    onWritten();
  };
}

async function play(gateway: StreamGateway, stream: SpoiledStream): Promise<ReceivedResponse> {
  const { isResumable, lastEventId, ending } = stream;
  let onWritten = (): void => {};
  const written = new Promise<void>((resolve) => {
    onWritten = resolve;
  });
  const patienceMs = ending === 'silent' ? SILENT_PATIENCE_MS : PATIENCE_MS;
  const patience = async (): Promise<void> => {
    await written;
    await sleep(patienceMs, undefined, { ref: false });
  };
  return gateway.call(createScript(stream, onWritten), { isResumable, lastEventId, patience });
}

/** Problems that a caller finds; a response that is no success holds no events. */
function findProblems(stream: SpoiledStream, { status, body, end }: ReceivedResponse): string[] {
  if (status < SUCCESS.min || status > SUCCESS.max) return [];
  const isWhole = end === 'whole';
  const { lastEventId, isFramed, ids } = stream;
  const problems = findForeignEvents({ body, run: runOf(stream), lastEventId, isWhole });
  const found = new Set(readEventStream(body).map(({ id }) => Number(id)));
  const missing = ids.filter((id) => !found.has(id));
  // A length that does not count the foreign bytes may end the response between two events.
  if (!isWhole || !isFramed || missing.length === 0) return problems;
  return [...problems, `whole without the events ${missing.join(', ')}`];
}

const LINE_ENDS = ['\r', '\n', '\r\n'];

/** Lines, and parts of lines, that mean something to a reader. */
const READER_LINES = [
  ...['', '', ':', ' ', 'id', 'id:', 'id: ', 'id: 07', 'id: 0', 'id: \0', '\0', '\ufeff', 'x'],
  ...['data', 'data:', 'data: x', 'event: t', 'retry: 9', ': c', 'weight-versions: 3'],
];

const textBytes = (text: string): Buffer => Buffer.from(text);

/** Lines with any ends, of which the first and the last may be parts of lines around them. */
const foreignLines = fc
  .tuple(
    fc.array(fc.tuple(fc.constantFrom(...READER_LINES), fc.constantFrom('\r', ...LINE_ENDS)), {
      minLength: 1,
      maxLength: 6,
    }),
    fc.constantFrom('', '', ...READER_LINES),
  )
  .map(([lines, rest]) => textBytes(lines.map((parts) => parts.join('')).join('') + rest));

const foreignTokens = fc
  .array(
    fc.oneof(
      {
        arbitrary: fc.constantFrom(...LINE_ENDS, '\r\r', '\n\r', ...READER_LINES).map(textBytes),
        weight: 8,
      },
      { arbitrary: fc.uint8Array({ minLength: 1, maxLength: 12 }), weight: 1 },
    ),
    { minLength: 1, maxLength: 8 },
  )
  .map((parts) => Buffer.concat(parts));

/** Foreign lines of the form of a field or comment, most of which end with CR. */
const fieldLines = fc
  .array(
    fc.tuple(
      fc.constantFrom('', '', 'id', 'id:', 'id: 07', 'data', 'data: x', ': c', 'event: t', 'x'),
      fc.constantFrom('\r', '\r', ...LINE_ENDS),
    ),
    { minLength: 1, maxLength: 4 },
  )
  .map((lines) => textBytes(lines.map((parts) => parts.join('')).join('')));

/** Foreign bytes, and their offset in an event. */
interface Spoiling {
  readonly foreign: fc.Arbitrary<Buffer>;
  readonly offset: fc.Arbitrary<number>;
}

const anySpoiling: Spoiling = {
  foreign: fc.oneof(foreignLines, foreignTokens),
  offset: fc.oneof(fc.constant(0), fc.nat(24)),
};

/** Streams with foreign bytes in any of their events or between them, under one of some heads. */
function spoiledStreams(
  headers: fc.Arbitrary<readonly string[]>,
  { foreign, offset }: Spoiling,
): fc.Arbitrary<SpoiledStream> {
  const fraction = fc.integer({ min: 0, max: 100 }).map((percent) => percent / 100);
  return fc
    .record({
      isResumable: fc.boolean(),
      lastEventId: fc.constantFrom(0, 0, 2, 9),
      steps: fc.array(fc.integer({ min: 1, max: 3 }), { minLength: 1, maxLength: 4 }),
      lineEnd: fc.constantFrom('\n', '\r\n'),
      foreign,
      position: fc.nat(4),
      offset,
      isFramed: fc.oneof(
        { arbitrary: fc.constant(true), weight: 4 },
        { arbitrary: fc.constant(false), weight: 1 },
      ),
      headers,
      framing: fc.constantFrom(...FRAMINGS),
      ending: fc.constantFrom('orderly', ...ENDINGS),
      writtenShare: fraction,
      splits: fc.array(fraction, { maxLength: 4 }),
      pauses: fc.boolean(),
    })
    .map(({ steps, ...rest }) => {
      let id = rest.lastEventId;
      const ids = steps.map((step) => {
        id += step;
        return id;
      });
      return { ...rest, ids, position: Math.min(rest.position, ids.length) };
    });
}

async function startGateway(t: TestContext): Promise<StreamGateway> {
  const gateway = await createStreamGateway();
  t.after(() => gateway[Symbol.asyncDispose]());
  return gateway;
}

async function check(
  t: TestContext,
  streams: fc.Arbitrary<SpoiledStream>,
  numRuns: number,
): Promise<void> {
  const gateway = await startGateway(t);
  const property = fc.asyncProperty(streams, async (stream) => {
    fc.pre(!isIndistinguishable(stream));
    const response = await play(gateway, stream);
    const problems = findProblems(stream, response);
    assert.deepEqual(problems, [], `${response.end} ${JSON.stringify(response.body.toString())}`);
  });
  await fc.assert(property, { seed: 1, numRuns, includeErrorInReport: true });
}

// Guards against pieces that no run made: a reader ends lines at CR, too, and takes blocks without an id for events.
test('any bytes in any place of an event stream reach no reader as an event', async (t) => {
  await check(t, spoiledStreams(fc.constant([EVENT_STREAM]), anySpoiling), 2000);
});

// Guards against the same where the foreign bytes are lines whose ends only some readers know.
test('lines with any ends in any place of an event stream reach no reader as an event', async (t) => {
  const offset = fc.oneof(fc.constant(0), fc.integer({ min: 12, max: 21 }));
  const streams = spoiledStreams(fc.constant([EVENT_STREAM]), { foreign: fieldLines, offset });
  await check(t, streams, 1000);
});

/** Heads of a success; a caller of a stream reads events in the body of each. */
const successHeads = fc.constantFrom<readonly string[]>(
  [],
  ['Content-Type: '],
  ['Content-Type: text/plain'],
  ['Content-Type: application/json'],
  ['Content-Type: Text/Event-Stream; charset=utf-8'],
  ['Content-Type: text/event-streamx'],
  [EVENT_STREAM, 'Content-Type: text/plain'],
  ['Content-Type: text/plain', EVENT_STREAM],
  [EVENT_STREAM, 'Content-Encoding: gzip'],
);

// Guards against a body that is relayed unread since its head does not name an event stream.
test('any bytes under any head of a success reach no reader as an event', async (t) => {
  await check(t, spoiledStreams(successHeads, anySpoiling), 1000);
});

// Guards against events that the caller of a resumed stream has already received.
test('a stream that its caller resumes repeats no event that the caller names', async (t) => {
  const gateway = await startGateway(t);
  const property = fc.asyncProperty(
    fc.integer({ min: 1, max: 5 }),
    fc.integer({ min: 1, max: 6 }),
    fc.boolean(),
    async (lastEventId, firstId, isResumable) => {
      const ids = [lastEventId + 1, lastEventId + 2];
      const repeated = Array.from({ length: lastEventId }, (_, at) => at + 1);
      const foreign = Buffer.concat(
        repeated.filter((id) => id >= firstId).map((id) => createEvent(id)),
      );
      const stream: SpoiledStream = {
        ...{ isResumable, lastEventId, ids, lineEnd: '\n', foreign, position: 0, offset: 0 },
        ...{ isFramed: true, headers: [EVENT_STREAM], framing: 'chunked', ending: 'orderly' },
        ...{ writtenShare: 1, splits: [], pauses: false },
      };
      const response = await play(gateway, stream);
      assert.deepEqual(findProblems(stream, response), [], response.body.toString());
    },
  );
  await fc.assert(property, { seed: 1, numRuns: 100, includeErrorInReport: true });
});
