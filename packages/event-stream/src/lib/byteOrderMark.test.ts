import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EventScanner } from './EventScanner';
import { IncreasingIds } from './IncreasingIds';
import { UnnumberedEvents } from './UnnumberedEvents';

const MARK = '\ufeff';

const FORMS = {
  numbered: {
    createOrder: () => new IncreasingIds(undefined),
    first: 'id: 1\ndata: piece 1\n\n',
    second: 'id: 2\ndata: piece 2\n\n',
  },
  unnumbered: {
    createOrder: () => new UnnumberedEvents(),
    first: 'event: piece\ndata: piece 1\n\n',
    second: 'data: piece 2\n\n',
  },
};

type Form = keyof typeof FORMS;

function scan(text: string, form: Form, chunkBytes: number): string {
  const scanner = new EventScanner(FORMS[form].createOrder());
  const bytes = Buffer.from(text);
  const parts: Buffer[] = [];
  for (let at = 0; at < bytes.length; at += chunkBytes) {
    parts.push(Buffer.from(scanner.push(bytes.subarray(at, at + chunkBytes)).bytes));
  }
  return Buffer.concat(parts).toString();
}

/** Whether a position is inside the value of a field with text, where the mark is text like any other. */
function isInValue(event: string, at: number): boolean {
  const line = event.slice(event.lastIndexOf('\n', at - 1) + 1, at);
  return /^(?:data|event):/.test(line);
}

// Guards against a mark inside the first event that a reader finds as an event of its own.
test('a byte order mark inside the first event is text of a field or ends the stream', () => {
  for (const form of Object.keys(FORMS) as Form[]) {
    const { first, second } = FORMS[form];
    for (const chunkBytes of [1, 7, Infinity]) {
      for (let at = 0; at <= first.length; at += 1) {
        const stream = `${first.slice(0, at)}${MARK}${first.slice(at)}${second}`;
        const forwarded = scan(stream, form, chunkBytes);
        const name = `${form}, ${chunkBytes} bytes at a time, at ${at}: ${JSON.stringify(forwarded)}`;
        const isText = isInValue(first, at);
        if (at === 0) assert.equal(forwarded, `${first}${second}`, name);
        else if (isText) assert.equal(forwarded, stream, name);
        else assert.ok(forwarded === '' || forwarded === first, name);
      }
    }
  }
});
