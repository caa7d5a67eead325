import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'node:test';
import { findForeignEvents } from '../fixtures/findForeignEvents';
import { RawStream, type Ending } from '../fixtures/rawStream';
import { createStreamGateway } from '../fixtures/streamGateway';

const EVENT_STREAM = ['Content-Type: text/event-stream'];

const PATIENCE_MS = 2000;

/** Time for which a caller waits on a connection on which nothing more may come, in milliseconds. */
const SILENT_PATIENCE_MS = 200;

const LAST_ID = 3;

const eventOf = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`;

/** A response whose run has the events 1 to 3, and which holds other bytes. */
interface SpoiledResponse {
  readonly writes: readonly string[];
  readonly headers?: readonly string[];
  readonly lastEventId?: number;
  /** Event that has the foreign bytes inside. */
  readonly spoiledId?: number;
  readonly ending?: Ending;
}

const [first, second, third] = [eventOf(1), eventOf(2), eventOf(3)] as const;

/** Responses that have reached a reader as events of no run, by what they hold. */
const responses: Readonly<Record<string, SpoiledResponse>> = {
  'a blank line of CR in data, and more data': {
    writes: [first, 'id: 2\ndata: pie\r\rdata: x\n\n', third],
    spoiledId: 2,
  },
  'a blank line of CR in data, and more data, and then silence': {
    writes: [first, 'id: 2\ndata: pie\r\rdata: x\n\n'],
    spoiledId: 2,
    ending: 'silent',
  },
  'a blank line of CR in data, and any bytes': {
    writes: [first, 'id: 2\ndata: pie\r\rxyz\n\n', third],
    spoiledId: 2,
  },
  'a line of CR in data that empties the id': {
    writes: [first, 'id: 2\ndata: pie\rid\rdata: x\n\n', third],
    spoiledId: 2,
  },
  'a line of CR in data with an id that is not canonical': {
    writes: [first, 'id: 2\ndata: pie\rid: 07\rdata: x\n\n', third],
    spoiledId: 2,
  },
  'lines of CR in a comment': { writes: [first, ': c\rdata: y\r\r\n', second, third] },
  'blank lines of CR after a comment': { writes: [`: c\r\rdata: y\r\r\n${first}`, second, third] },
  'lines of CR in a type': { writes: [`event: t\rdata: y\r\r\n${first}`, second, third] },
  'lines of CR in an unknown field': {
    writes: [first, `weight-versions: 3\rdata: y\r\r\n${second}`, third],
  },
  'an id with a leading zero': { writes: [first, second, 'id: 03\ndata: piece 3\n\n'] },
  'the id 0 after another one': { writes: [first, 'id: 0\ndata: x\n\n', second, third] },
  'a stray blank line between events': { writes: [first, '\n', second, third] },
  'a stray blank line before the first event': { writes: ['\r\n', first, second, third] },
  'an id that the caller of a resumed stream has': {
    writes: ['id: 1\ndata: x\n\n', third],
    lastEventId: 2,
  },
  'events that the caller of a resumed stream has': {
    writes: [first, second, third],
    lastEventId: 2,
  },
  ...Object.fromEntries(
    [
      [],
      ['Content-Type: text/plain'],
      ['Content-Type: Text/Event-Stream; charset=utf-8'],
      ['Content-Type: text/plain', ...EVENT_STREAM],
    ].map((headers) => [
      `foreign events under the head [${headers.join(', ')}]`,
      { writes: [first, 'data: x\n\n', second, third], headers },
    ]),
  ),
  'foreign bytes beyond the buffer under a head without a type': {
    writes: [`${'x'.repeat(70)}\n\n`.repeat(4000)],
    headers: [],
    ending: 'reset',
  },
};

for (const [name, response] of Object.entries(responses)) {
  for (const isResumable of [false, true]) {
    const route = isResumable ? 'a resumable route' : 'a route that is not resumable';
    // Guards against a piece that no run made, which the reader of a caller finds in the response.
    test(`${name}: no reader finds an event of no run, on ${route}`, async (t) => {
      const { writes, headers = EVENT_STREAM, lastEventId = 0, spoiledId, ending } = response;
      const gateway = await createStreamGateway();
      t.after(() => gateway[Symbol.asyncDispose]());
      let onWritten = (): void => {};
      const written = new Promise<void>((resolve) => {
        onWritten = resolve;
      });
      const { status, body, end } = await gateway.call(
        async (socket, request) => {
          const raw = new RawStream(socket, 'chunked');
          const rest = [1, 2, LAST_ID].filter((id) => id > request.lastEventId).map(eventOf);
          const isSpoiled = request.attempt === 0;
          raw.writeHead(isSpoiled ? headers : EVENT_STREAM, 0);
          for (const text of isSpoiled ? writes : rest) {
            raw.write(Buffer.from(text));
            await sleep(5);
          }
          raw.end(isSpoiled ? (ending ?? 'orderly') : 'orderly');
          onWritten();
        },
        {
          isResumable,
          lastEventId,
          patience: async () => {
            await written;
            const patienceMs = ending === 'silent' ? SILENT_PATIENCE_MS : PATIENCE_MS;
            await sleep(patienceMs, undefined, { ref: false });
          },
        },
      );
      if (status !== 200) return;
      const run = [1, 2, LAST_ID]
        .filter((id) => id > lastEventId)
        .map((id) => ({ id, data: id === spoiledId ? undefined : `piece ${id}` }));
      const problems = findForeignEvents({ body, run, lastEventId, isWhole: end === 'whole' });
      assert.deepEqual(problems.slice(0, 5), [], `${end}, ${problems.length} problems`);
    });
  }
}
