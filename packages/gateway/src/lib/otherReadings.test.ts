import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'node:test';
import fc from 'fast-check';
import { readEventStream } from '@berylwood/testing';
import { findForeignEvents } from '../fixtures/findForeignEvents';
import {
  PATIENCE_MS,
  IDS,
  eventOf,
  first,
  second,
  third,
  STREAM,
  CHUNKED,
  chunkOf,
  LAST_CHUNK,
  headOf,
  SOUND_HEAD,
  BROKEN,
  wholeFrom,
  reply,
  call,
  type Reply,
} from '../fixtures/rawReplies';
import { createStreamGateway, type ReceivedResponse } from '../fixtures/streamGateway';

/** Checks that a caller of the run of the events 1 to 3 finds nothing else, and all of it in a whole response. */
function checkStream({ status, body, end }: ReceivedResponse, lastEventId = 0): void {
  if (status < 200 || status > 299) return;
  const run = IDS.filter((id) => id > lastEventId).map((id) => ({ id, data: `piece ${id}` }));
  const isWhole = end === 'whole';
  assert.deepEqual(findForeignEvents({ body, run, lastEventId, isWhole }), [], end);
  if (!isWhole) return;
  const ids = readEventStream(body).map(({ id }) => id);
  assert.deepEqual(
    ids,
    run.map(({ id }) => String(id)),
    'a whole response has all events',
  );
}

/** Heads of a second endpoint which are no success with a stream, whatever their type says. */
const HEADS_OF_RESUMED: Readonly<Record<string, Reply>> = {
  'a failure of the type of streams and without a body': {
    writes: [headOf('500 Internal Server Error', STREAM, 'Content-Length: 0')],
  },
  'a failure of the type of streams with an event of its own': {
    writes: [headOf('502 Bad Gateway', STREAM, CHUNKED), chunkOf('id: 2\ndata: x\n\n'), LAST_CHUNK],
  },
  'a refusal of the type of streams and without a body': {
    writes: [headOf('404 Not Found', STREAM, 'Content-Length: 0')],
  },
  'no content of the type of streams': { writes: [headOf('204 No Content', STREAM)] },
  'not modified, of the type of streams': { writes: [headOf('304 Not Modified', STREAM)] },
  'a redirection of the type of streams': {
    writes: [headOf('307 Temporary Redirect', STREAM, 'Content-Length: 0')],
  },
  'another type': { writes: [headOf('200 OK', 'Content-Type: a/b', CHUNKED), chunkOf(second)] },
  'an encoding': {
    writes: [headOf('200 OK', STREAM, 'Content-Encoding: gzip', CHUNKED), chunkOf(second)],
  },
};

for (const [name, resumed] of Object.entries(HEADS_OF_RESUMED)) {
  // Guards against a stream that looks complete, or goes on, by what is no response to its resumption.
  test(`a stream is neither ended nor continued by a second endpoint with ${name}`, async (t) => {
    checkStream(await call(t, [BROKEN, resumed], { isResumable: true }));
  });
}

/** Replies to which a caller finds at most a part of the run, which is then not whole. */
const FRAMINGS: Readonly<Record<string, readonly Reply[]>> = {
  ...Object.fromEntries(
    ['identity', 'gzip', 'chunked, gzip', 'x'].map((coding) => [
      `a reset under the transfer encoding "${coding}"`,
      [
        {
          writes: [headOf('200 OK', STREAM, `Transfer-Encoding: ${coding}`), first],
          then: 'reset',
        },
      ] as const,
    ]),
  ),
  ...Object.fromEntries(
    ['identity', 'gzip', 'chunked, gzip', 'x'].map((coding) => [
      `a reset with an event under the transfer encoding "${coding}"`,
      [
        {
          writes: [headOf('200 OK', STREAM, `Transfer-Encoding: ${coding}`) + first],
          then: 'reset at once',
        },
      ] as const,
    ]),
  ),
  'a reset with an event and without a length': [
    { writes: [headOf('200 OK', STREAM, 'Connection: close') + first], then: 'reset at once' },
  ],
  'a reset without a length': [
    { writes: [headOf('200 OK', STREAM, 'Connection: close'), first], then: 'reset' },
  ],
  'a reset after chunks': [BROKEN],
  'an end after chunks without the last one': [{ ...BROKEN, then: 'end' }],
  'an end before the stated length': [
    { writes: [headOf('200 OK', STREAM, 'Content-Length: 99'), first], then: 'end' },
  ],
  'an event that the end of the connection cuts': [
    {
      writes: [headOf('200 OK', STREAM, 'Connection: close'), `${first}id: 2\ndata: pie\n`],
      then: 'end',
    },
  ],
  'a stated length that cuts an event': [
    { writes: [headOf('200 OK', STREAM, `Content-Length: ${first.length + 9}`), first, second] },
  ],
  'two lengths': [
    { writes: [headOf('200 OK', STREAM, 'Content-Length: 23', 'Content-Length: 24'), first] },
  ],
  'a length and chunks': [
    {
      writes: [headOf('200 OK', STREAM, 'Content-Length: 5', CHUNKED), chunkOf(first), LAST_CHUNK],
    },
  ],
  'a chunk extension and trailers': [
    {
      writes: [
        SOUND_HEAD,
        `${chunkOf(first + second).replace('\r\n', ';id=9\r\n')}${chunkOf(third)}`,
        '0;x="\ndata: y"\r\nContent-Type: a/b\r\nid: 9\r\n\r\n',
      ],
    },
  ],
  'bytes after the last chunk': [
    { writes: [SOUND_HEAD, IDS.map(eventOf).map(chunkOf).join(''), `${LAST_CHUNK}data: x\n\n`] },
  ],
  'bytes after the last chunk in one write': [
    { writes: [`${SOUND_HEAD}${chunkOf(first + second + third)}${LAST_CHUNK}id: 4\ndata: x\n\n`] },
  ],
  'interim responses with the type before a head without': [
    {
      writes: [
        headOf('103 Early Hints', STREAM) + headOf('100 Continue', STREAM),
        headOf('200 OK', CHUNKED),
        chunkOf('data: x\n\n'),
        LAST_CHUNK,
      ],
    },
  ],
  'a switch of protocols': [
    {
      writes: [
        headOf('101 Switching Protocols', 'Upgrade: x', 'Connection: upgrade'),
        'data: x\n\n',
      ],
    },
  ],
  'a folded type': [
    {
      writes: [headOf('200 OK', 'Content-Type: a/b;\r\n text/event-stream', CHUNKED)],
      then: 'end',
    },
  ],
  'version 1.0 and chunks': [
    {
      writes: [SOUND_HEAD.replace('1.1', '1.0'), chunkOf(first)],
      then: 'end',
    },
  ],
};

for (const [name, replies] of Object.entries(FRAMINGS)) {
  for (const isResumable of [false, true]) {
    const route = isResumable ? 'a resumable route' : 'a route that is not resumable';
    test(`${name}: no reader finds more or less than the run, on ${route}`, async (t) => {
      const after = isResumable ? [{ writes: [headOf('500 No', 'Content-Length: 0')] }] : [];
      checkStream(await call(t, [...replies, ...after], { isResumable }));
    });
  }
}

/** Starts of the responses of a first and a second endpoint. */
const RESUMPTIONS: Readonly<Record<string, readonly [Reply, Reply]>> = {
  'a second run from its start': [BROKEN, wholeFrom(first, second, third)],
  'a mark at the start of the second': [BROKEN, wholeFrom(`\u00ef\u00bb\u00bf${second}`, third)],
  'CR at the end of the first, LF at the start of the second': [
    { writes: [SOUND_HEAD, chunkOf('id: 1\r\ndata: piece 1\r\n\r')], then: 'reset' },
    wholeFrom('\n', second, third),
  ],
  'CR alone at the end of the first, LF twice at the start of the second': [
    { writes: [SOUND_HEAD, chunkOf('id: 1\rdata: piece 1\r\r')], then: 'reset' },
    wholeFrom(`\n\n${second}`, third),
  ],
  'half an event at the end of the first': [
    { writes: [SOUND_HEAD, chunkOf(`${first}id: 2\ndata: pie`)], then: 'reset' },
    wholeFrom(second, third),
  ],
  'foreign bytes in the read after an event': [
    { writes: [SOUND_HEAD, chunkOf(first), chunkOf('x\n\n')] },
    wholeFrom(second, third),
  ],
  'foreign bytes in the read of an event': [
    { writes: [SOUND_HEAD, chunkOf(`${first}${second}x\n\n`)] },
    wholeFrom(first, second, third),
  ],
  'a plain failure before a stream': [
    { writes: [headOf('500 No', 'Content-Length: 9'), 'data: x\n\n'] },
    wholeFrom(first, second, third),
  ],
  'a failure of the type of streams before a stream': [
    { writes: [headOf('500 No', STREAM, 'Content-Length: 9'), 'data: x\n\n'] },
    wholeFrom(first, second, third),
  ],
};

for (const [name, replies] of Object.entries(RESUMPTIONS)) {
  test(`${name}: the caller of a resumed stream finds its run whole`, async (t) => {
    const received = await call(t, replies, { isResumable: true });
    checkStream(received);
    assert.deepEqual([received.status, received.end], [200, 'whole']);
  });
}

// Guards against a success that its caller takes for a whole stream, and that is none or a part of one.
for (const [name, writes] of Object.entries({
  'no content': [headOf('204 No Content')],
  'no content of the type of streams': [headOf('204 No Content', STREAM)],
  'a part of a body': [
    headOf('206 Partial Content', STREAM, 'Content-Range: bytes 0-20/63', 'Content-Length: 21'),
    first,
  ],
})) {
  test(`a new stream is not answered as whole with ${name}`, async (t) => {
    checkStream(await call(t, [{ writes }]));
  });
}

/** Bytes that a second endpoint may send before or between its events. */
const foreign = fc
  .array(
    fc.constantFrom(
      ...['\n', '\r', '\r\n', '\n\n', '\r\r', ':', 'id', 'id: 1', 'data: x', 'data', 'x', '\0'],
      ...[
        '\u00ef\u00bb\u00bf',
        'event: e',
        'data: x\n\n',
        'id: 1\ndata: x\n\n',
        ': c\n\n',
        'id: 02',
      ],
    ),
    { maxLength: 5 },
  )
  .map((texts) => texts.join(''));

// Guards against foreign bytes of the endpoint that goes on with a stream, whose head was already sent.
test('any bytes of a second endpoint reach no reader of a resumed stream as an event', async (t) => {
  const gateway = await createStreamGateway();
  t.after(() => gateway[Symbol.asyncDispose]());
  const property = fc.asyncProperty(
    fc.record({
      cut: fc.nat(first.length + second.length),
      texts: fc.tuple(foreign, foreign, foreign, foreign),
      isOneWrite: fc.boolean(),
      isReset: fc.boolean(),
      isResumed: fc.boolean(),
    }),
    async ({ cut, texts, isOneWrite, isReset, isResumed }) => {
      const events = ['', ...(isResumed ? [second, third] : [first, second, third])];
      const parts = events.map((event, at) => event + (texts[at] ?? ''));
      const chunks = isOneWrite
        ? [chunkOf(parts.join('') || ':')]
        : parts.filter(Boolean).map(chunkOf);
      const head = `${SOUND_HEAD}${chunkOf((first + second).slice(0, cut) || ':')}`;
      const received = await gateway.call(
        async (socket, { attempt }) => {
          if (attempt === 0) await reply(socket, { writes: [head], then: 'end' });
          else
            await reply(socket, {
              writes: [SOUND_HEAD, ...chunks],
              then: isReset ? 'reset' : 'end',
            });
        },
        {
          isResumable: true,
          lastEventId: 0,
          patience: () => sleep(PATIENCE_MS, undefined, { ref: false }),
        },
      );
      const { status, body, end } = received;
      if (status !== 200) return;
      const run = IDS.map((id) => ({ id, data: undefined }));
      const isWhole = end === 'whole';
      const problems = findForeignEvents({ body, run, lastEventId: 0, isWhole });
      assert.deepEqual(problems, [], `${end} ${JSON.stringify(body.toString())}`);
    },
  );
  await fc.assert(property, { seed: 1, numRuns: 200, includeErrorInReport: true });
});
