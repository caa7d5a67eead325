import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readEventStream } from '@berylwood/testing';
import {
  IDS,
  first,
  second,
  third,
  STREAM,
  CHUNKED,
  LARGE,
  chunkOf,
  LAST_CHUNK,
  headOf,
  BROKEN,
  wholeFrom,
  call,
  type Reply,
} from '../fixtures/rawReplies';

// Guards against events that are appended to another body, since their own head says that they are a stream.
for (const [name, path, status] of [
  ['a large failure on a resumable route', '/resumable/1', '404 Not Found'],
  ['a large success on a safe route', '/safe/1', '200 OK'],
] as const) {
  test(`${name} that is reset is not continued with the events of another endpoint`, async (t) => {
    const broken: Reply = {
      writes: [headOf(status, 'Content-Type: text/plain', CHUNKED), chunkOf(LARGE)],
      then: 'reset',
    };
    const { body, end } = await call(t, [broken, wholeFrom(first, second, third)], { path });
    assert.ok(!body.includes('piece 1'), `${end}, ${body.subarray(-80).toString()}`);
    assert.notEqual(end, 'whole');
  });
}

// Guards against pieces of two runs in one response of a route that may not be resumed.
test('events on a safe route are not continued with those of another run', async (t) => {
  const other = IDS.map((id) => `id: ${id}\ndata: other ${id}\n\n`);
  const { body, end } = await call(t, [BROKEN, wholeFrom(...other)], { path: '/safe/1' });
  const data = readEventStream(body).map((event) => event.data.split(' ')[0]);
  assert.ok(new Set(data).size <= 1, `${end}: ${JSON.stringify(body.toString())}`);
});

// Guards against a changed body on a route that has no streams.
for (const path of ['/safe/1', '/unsafe/1']) {
  for (const [name, text] of Object.entries({
    'a comment and a block without data': `: c\n\nevent: e\n\n${first}`,
    'events without ids': 'data: a\n\ndata: b\n\n',
    'any text': 'no event at all',
  })) {
    test(`a plain body of the type of streams passes unchanged on ${path}: ${name}`, async (t) => {
      const whole = { writes: [headOf('200 OK', STREAM, CHUNKED), chunkOf(text), LAST_CHUNK] };
      const { status, body, end } = await call(t, [whole], { path });
      assert.deepEqual([status, body.toString(), end], [200, text, 'whole']);
    });
  }
}

// Guards against encoded bytes that a caller takes for the body.
for (const path of ['/safe/1', '/unsafe/1']) {
  for (const header of ['Content-Encoding: gzip', 'Content-Encoding: identity']) {
    test(`a success with ${header} is no body of its endpoint on ${path}`, async (t) => {
      const encoded = { writes: [headOf('200 OK', header, 'Content-Length: 5'), 'bytes'] };
      const { status } = await call(t, [encoded], { path });
      assert.ok(status >= 500, `status ${status}`);
    });
  }
  test(`a success that is compressed for its transfer is not passed on as it is on ${path}`, async (t) => {
    const head = headOf('200 OK', 'Transfer-Encoding: gzip, chunked');
    const { status } = await call(t, [{ writes: [head, chunkOf('bytes'), LAST_CHUNK] }], { path });
    assert.ok(status >= 500, `status ${status}`);
  });
  for (const coding of ['identity', 'gzip', 'x']) {
    test(`a body that is reset under the transfer encoding ${coding} is not whole on ${path}`, async (t) => {
      const head = headOf('200 OK', `Transfer-Encoding: ${coding}`);
      const { status, end } = await call(t, [{ writes: [head, 'half'], then: 'reset' }], { path });
      assert.ok(status >= 500 || end !== 'whole', `status ${status}, ${end}`);
    });
    test(`a body that is reset at once under the transfer encoding ${coding} is not whole on ${path}`, async (t) => {
      const head = headOf('200 OK', `Transfer-Encoding: ${coding}`);
      const half: Reply = { writes: [`${head}half`], then: 'reset at once' };
      const { status, end } = await call(t, [half], { path });
      assert.ok(status >= 500 || end !== 'whole', `status ${status}, ${end}`);
    });
  }
}

// Guards against a whole failure that is cut, as another endpoint can no longer serve its request.
test('a large failure on a safe route passes whole', async (t) => {
  const head = headOf('500 No', 'Content-Type: text/plain', CHUNKED);
  const failure: Reply = { writes: [head, chunkOf(LARGE), LAST_CHUNK] };
  const success: Reply = { writes: [headOf('200 OK', 'Content-Length: 2'), 'ok'] };
  const { status, body, end } = await call(t, [failure, success], { path: '/safe/1' });
  assert.deepEqual([status, body.length, end], [500, LARGE.length, 'whole']);
});
