import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
  DONE,
  TEST_TIMEOUT,
  assertWhole,
  createEngine,
  createToken,
  encode,
  soundResponse,
  split,
  textOf,
  valuesOf,
} from '../fixtures/scriptedRun';
import { EndpointError } from './Endpoint';

/** Texts of tokens, among them those that look like parts of the wire form. */
const tokenTexts = fc.array(
  fc.oneof(
    fc.string({ unit: 'grapheme', maxLength: 8 }),
    fc.constantFrom('[DONE]', 'data: x', '\n\n', '"usage":{', 'é', '\u2028'),
  ),
  { minLength: 1, maxLength: 6 },
);

const lineEnds = fc.constantFrom('\n', '\r\n', '\r');

const noise = fc
  .tuple(fc.uint8Array({ maxLength: 12 }), fc.constantFrom(0xff, 0x00, 0x07, 0xc3))
  .map(([bytes, last]) => Buffer.from([...bytes, last]));

/** Foreign bytes that a reader of the wire form can tell from those of a run. */
const foreignBytes = fc.oneof(
  noise,
  noise.map((bytes) => Buffer.concat([bytes, Buffer.from('\n\n')])),
  fc
    .tuple(
      fc.constantFrom(
        'data: x',
        'data: {"id":"other","choices":[{"index":0,"delta":{"content":"x"}}]}',
        'data: {"choices":[]}',
        'data:',
        'data',
        'data: null',
        'data: [DONE] ',
        'id: 7',
        'id',
        'event: x',
        'retry: 9',
        ': x',
        'xyz',
        'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: x',
      ),
      lineEnds,
      fc.nat(2),
    )
    .map(([text, lineEnd, ends]) => Buffer.from(`${lineEnd}${text}${lineEnd.repeat(ends)}`)),
);

const plans = fc.record({
  texts: tokenTexts,
  lineEnd: lineEnds,
  foreign: foreignBytes,
  /** Share of the response before the foreign bytes, or the index of the event before which they stand. */
  position: fc.oneof(
    fc.record({ share: fc.double({ min: 0, max: 1, noNaN: true }) }),
    fc.record({ event: fc.nat(8) }),
  ),
  size: fc.integer({ min: 1, max: 400 }),
  endsWithConnection: fc.boolean(),
  ending: fc.constantFrom('complete' as const, 'cut' as const),
  resumption: fc.constantFrom('sound', 'foreign', 'gone', 'refused', 'page'),
});

function placeForeign(events: Buffer[], plan: { foreign: Buffer; position: object }): Buffer {
  const { share = 0, event } = plan.position as { share?: number; event?: number };
  const bytes = Buffer.concat(events);
  const at =
    event === undefined
      ? Math.floor(share * bytes.length)
      : Buffer.concat(events.slice(0, event)).length;
  return Buffer.concat([bytes.subarray(0, at), plan.foreign, bytes.subarray(at)]);
}

// Guards against pieces that no run made: foreign bytes of an engine that reached the caller and counted as tokens.
test('foreign bytes of an engine reach no caller', TEST_TIMEOUT, async (t) => {
  const { run } = await createEngine(t);
  const property = fc.asyncProperty(plans, async (plan) => {
    const { texts, lineEnd, size, endsWithConnection, ending, resumption } = plan;
    let id = '';
    const outcome = await run((stream, offset, calls) => {
      id = stream;
      const isFirst = calls === 1;
      if (!isFirst && resumption === 'gone') return { status: 404, parts: [] };
      if (!isFirst && resumption === 'refused')
        return { status: 500, parts: [encode(createToken(stream, 'x'))] };
      if (!isFirst && resumption === 'page')
        return { headers: { 'content-type': 'text/html' }, parts: [Buffer.from('data: x\n\n')] };
      if (!isFirst && (resumption === 'sound' || calls > 2))
        return soundResponse(stream, texts, offset);
      const events = valuesOf(stream, texts, offset).map((value) => encode(value, lineEnd));
      const parts = split(placeForeign(events, plan), size);
      return { parts, endsWithConnection, ending };
    });
    const { sink, error } = outcome;
    const expected = valuesOf(id, texts);
    const received = sink.values;
    assert.deepEqual(received, expected.slice(0, received.length));
    assert.equal(sink.tokens, Math.min(received.length, texts.length));
    if (error === undefined) assertWhole(outcome, texts);
    else assert.ok(error instanceof EndpointError, String(error));
    if (resumption === 'sound' || resumption === 'foreign') assert.equal(error, undefined);
  });
  await fc.assert(property, { numRuns: 1000, seed: 39 });
});

/** Form of an event that the specification allows, with what may stand before it. */
interface SoundForm {
  readonly lineEnd: string;
  readonly before: string;
  readonly first: string;
  readonly data: 'plain' | 'no space' | 'lines' | 'empty lines';
}

const soundForms: fc.Arbitrary<SoundForm> = fc.record({
  lineEnd: lineEnds,
  before: fc.constantFrom('', ': ping\n\n', ':\r\r', '\r\n', 'retry: 10\n\n'),
  first: fc.constantFrom('', ': comment', ':', 'event: message'),
  data: fc.constantFrom('plain', 'no space', 'lines', 'empty lines'),
});

function encodeSound(value: unknown, form: SoundForm): Buffer {
  const isMultiLine = form.data.endsWith('lines') && value !== DONE;
  const text = isMultiLine ? JSON.stringify(value, undefined, 1) : textOf(value);
  const name = form.data === 'no space' ? 'data:' : 'data: ';
  const lines = text.split('\n').map((line) => `${name}${line}`);
  if (form.data === 'empty lines' && isMultiLine) lines.splice(1, 0, 'data');
  if (form.first !== '') lines.unshift(form.first);
  return Buffer.from(`${form.before}${lines.join(form.lineEnd)}${form.lineEnd.repeat(2)}`);
}

test('a sound stream passes whole in each form that is allowed', TEST_TIMEOUT, async (t) => {
  const { run } = await createEngine(t);
  const sizes = fc.integer({ min: 1, max: 400 });
  const property = fc.asyncProperty(
    tokenTexts,
    fc.array(soundForms, { minLength: 8, maxLength: 8 }),
    sizes,
    fc.constantFrom('', '\ufeff'),
    fc.boolean(),
    async (texts, forms, size, mark, endsWithConnection) => {
      let calls = 0;
      const outcome = await run((stream) => {
        calls += 1;
        const events = valuesOf(stream, texts).map((value, index) =>
          encodeSound(value, forms[index] as SoundForm),
        );
        const bytes = Buffer.concat([Buffer.from(mark), ...events]);
        return { parts: split(bytes, size), endsWithConnection };
      });
      assertWhole(outcome, texts);
      assert.equal(calls, 1);
    },
  );
  await fc.assert(property, { numRuns: 500, seed: 39 });
});
