import assert from 'node:assert/strict';
import test, { type TestContext } from 'node:test';
import {
  ScriptedEngine,
  readEventStream,
  until,
  type ScriptedCall,
  type ScriptedResponse,
} from '@berylwood/testing';
import { TEST_TIMEOUT, createDeployment, type ProcessFixture } from './fixtures';

const TEXTS = ['a', 'b', 'c', 'd'];

const DONE = '[DONE]';

interface CallerRecord {
  readonly status: number;
  /** Text of the run's events that a caller's reader finds, and names of the events that are none of the run. */
  readonly text: string;
  readonly others: readonly string[];
  readonly isDone: boolean;
}

interface Chunk {
  readonly choices?: { readonly delta: { readonly content: string } }[];
  readonly usage?: unknown;
  readonly error?: { readonly type: string };
}

function encode(value: unknown, lineEnd = '\n'): Buffer {
  const text = value === DONE ? DONE : JSON.stringify(value);
  return Buffer.from(`data: ${text}${lineEnd}${lineEnd}`);
}

function createEvents(id: string, offset: number, lineEnd?: string): Buffer[] {
  const tokens = TEXTS.slice(offset).map((content) => ({ id, choices: [{ delta: { content } }] }));
  const usage = { prompt_tokens: 3, completion_tokens: TEXTS.length };
  const values = [...tokens, { id, choices: [], usage }, DONE];
  return values.map((value) => encode(value, lineEnd));
}

/** Starts a deployment whose engine follows a script. */
async function createScripted(
  t: TestContext,
  respond: (call: ScriptedCall) => ScriptedResponse,
): Promise<ProcessFixture> {
  const fixture = await createDeployment(t, {});
  const { deployment } = fixture;
  await deployment.process('engine-1').kill();
  const engine = new ScriptedEngine(deployment.endpointAddress('engine-1'), respond);
  await engine.start();
  t.after(() => engine.stop());
  return fixture;
}

/** Calls a completion as a stream and reads what arrives as a caller's reader does. */
async function call({ deployment, secret }: ProcessFixture): Promise<CallerRecord> {
  const answer = await fetch(`${deployment.entryUrl(1)}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${secret}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'crew-8b',
      stream: true,
      messages: [{ role: 'user', content: 'x' }],
    }),
  });
  const body = new Uint8Array(await answer.arrayBuffer());
  let text = '';
  let isDone = false;
  const others: string[] = [];
  const { status } = answer;
  if (status !== 200) return { status, text, others, isDone };
  for (const { data } of readEventStream(body)) {
    if (data === DONE) {
      isDone = true;
      continue;
    }
    const chunk = parseChunk(data);
    if (chunk?.choices) text += chunk.choices[0]?.delta.content ?? '';
    else others.push(chunk?.error?.type ?? data);
  }
  return { status, text, others, isDone };
}

function parseChunk(data: string): Chunk | undefined {
  try {
    return JSON.parse(data) as Chunk;
  } catch {
    return undefined;
  }
}

const FOREIGN = [
  'data: x\n\n',
  'data: {"id":"other","choices":[{"delta":{"content":"x"}}]}\n\n',
  '\rdata: x\r\r',
  'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: x\n\n',
  '\u00ff\n\n',
  ': x',
];

// Guards against pieces that no run made: foreign bytes of an engine that reached the caller through both roles.
test('foreign bytes of an engine reach no caller of an entry', TEST_TIMEOUT, async (t) => {
  let foreign = Buffer.alloc(0);
  let position = 0;
  let isResumable = true;
  const fixture = await createScripted(t, ({ url, stream }) => {
    const offset = url.searchParams.get('offset');
    if (offset !== null && !isResumable) return { status: 404, parts: [] };
    if (offset !== null) return { parts: createEvents(stream, Number(offset)) };
    const events = createEvents(stream, 0, '\r\n');
    if (position >= 0) events.splice(position, 0, foreign);
    else events[1] = Buffer.concat([events[1]?.subarray(0, 30) ?? foreign, foreign]);
    return { parts: events };
  });
  await until('the engine serves', async () => (await call(fixture)).isDone);
  for (const text of FOREIGN) {
    foreign = Buffer.from(text, 'latin1');
    for (position of [-1, 0, 2, TEXTS.length + 2]) {
      isResumable = true;
      const whole = { status: 200, text: TEXTS.join(''), others: [], isDone: true };
      assert.deepEqual(await call(fixture), whole, `${JSON.stringify(text)} at ${position}`);
    }
    isResumable = false;
    position = 2;
    const cut = { status: 200, text: 'ab', others: ['endpointFailed'], isDone: false };
    assert.deepEqual(await call(fixture), cut, JSON.stringify(text));
  }
});

// Guards against a body of another kind that reached the caller of a stream as a success.
test('a success that is no stream of events fails a call for one', TEST_TIMEOUT, async (t) => {
  let isSound = true;
  const fixture = await createScripted(t, ({ stream }) =>
    isSound
      ? { parts: createEvents(stream, 0) }
      : { headers: { 'content-type': 'text/plain' }, parts: [Buffer.from('data: x\n\n')] },
  );
  await until('the engine serves', async () => (await call(fixture)).isDone);
  isSound = false;
  const { status, text } = await call(fixture);
  assert.deepEqual([status, text], [504, '']);
});
