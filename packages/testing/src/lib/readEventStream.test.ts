import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readEventStream, type ReceivedEvent } from './readEventStream';

function read(text: string, lastEventId?: string): ReceivedEvent[] {
  return readEventStream(Buffer.from(text), lastEventId);
}

function createEvent(fields: Partial<ReceivedEvent>): ReceivedEvent {
  return { id: '', hasOwnId: false, type: 'message', data: '', ...fields };
}

function dataOf(text: string): string[] {
  return read(text).map(({ data }) => data);
}

test('an event has its id, its type and its data', () => {
  const expected = [createEvent({ id: '7', hasOwnId: true, type: 'token', data: 'a' })];
  assert.deepEqual(read('id: 7\nevent: token\ndata: a\n\n'), expected);
});

test('lines end with CR, LF or CRLF, also mixed in one event', () => {
  for (const blank of ['\n\n', '\r\r', '\r\n\r\n', '\n\r', '\n\r\n', '\r\n\n', '\r\n\r']) {
    assert.deepEqual(dataOf(`data: a${blank}data: b\rdata: c\r\n\r\n`), ['a', 'b\nc']);
  }
  assert.deepEqual(dataOf('data: a\r\ndata: b\n\n'), ['a\nb']);
});

test('a byte order mark is dropped only at the start', () => {
  assert.deepEqual(dataOf('\ufeffdata: a\n\n\ufeffdata: b\n\n'), ['a']);
  assert.deepEqual(dataOf('\ufeff\ufeffdata: a\n\n'), []);
});

test('one leading space of a value is dropped', () => {
  assert.deepEqual(dataOf('data:a\n\ndata: a\n\ndata:  a\n\ndata:\ta\n\n'), [
    'a',
    'a',
    ' a',
    '\ta',
  ]);
});

test('a value may hold colons', () => {
  assert.deepEqual(read('id: 1:2\ndata: a: b\n\n'), [
    createEvent({ id: '1:2', hasOwnId: true, data: 'a: b' }),
  ]);
});

test('a line without a colon is the name of a field without a value', () => {
  assert.deepEqual(dataOf('data\n\n'), ['']);
  assert.deepEqual(dataOf('data\ndata\n\n'), ['\n']);
  assert.deepEqual(read('id: 3\ndata: a\n\nid\ndata: b\n\n'), [
    createEvent({ id: '3', hasOwnId: true, data: 'a' }),
    createEvent({ id: '', hasOwnId: true, data: 'b' }),
  ]);
});

test('comments, unknown fields and names in another case are ignored', () => {
  assert.deepEqual(dataOf(': x\n:\nweight-versions: 3\nData: x\n data: x\ndata: a\n\n'), ['a']);
});

test('a block without data is no event, but its id lasts', () => {
  assert.deepEqual(read('id: 5\n\ndata: a\n\n'), [createEvent({ id: '5', data: 'a' })]);
  assert.deepEqual(read('event: token\n\nretry: 100\n\ndata: a\n\n'), [createEvent({ data: 'a' })]);
});

test('a block of one line of data that is empty is an event', () => {
  assert.deepEqual(read('data:\n\n'), [createEvent({})]);
});

test('an id lasts until another one, and starts with that of the caller', () => {
  const [first, second, third] = read('data: a\n\nid: 9\ndata: b\n\ndata: c\n\n', '8');
  assert.deepEqual(first, createEvent({ id: '8', data: 'a' }));
  assert.deepEqual(second, createEvent({ id: '9', hasOwnId: true, data: 'b' }));
  assert.deepEqual(third, createEvent({ id: '9', data: 'c' }));
});

test('an id with NULL is ignored, and an empty one resets the id', () => {
  assert.deepEqual(read('id: 4\ndata: a\n\nid: 5\0\ndata: b\n\nid:\ndata: c\n\n'), [
    createEvent({ id: '4', hasOwnId: true, data: 'a' }),
    createEvent({ id: '4', data: 'b' }),
    createEvent({ id: '', hasOwnId: true, data: 'c' }),
  ]);
});

test('the last of several ids and types in one block counts', () => {
  assert.deepEqual(read('id: 1\nid: 2\nevent: x\nevent: y\ndata: a\n\n'), [
    createEvent({ id: '2', hasOwnId: true, type: 'y', data: 'a' }),
  ]);
});

test('an event without its blank line is discarded', () => {
  assert.deepEqual(dataOf('data: a\n\ndata: b\n'), ['a']);
  assert.deepEqual(dataOf('data: a\n\ndata: b'), ['a']);
  assert.deepEqual(dataOf('data: a\n'), []);
});

test('bytes that are no UTF-8 are replaced', () => {
  const bytes = Buffer.concat([Buffer.from('data: a'), Buffer.from([0xff]), Buffer.from('\n\n')]);
  assert.deepEqual(
    readEventStream(bytes).map(({ data }) => data),
    ['a\ufffd'],
  );
});
