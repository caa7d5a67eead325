import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import { expectedAnswer } from './answer';
import type { EngineOptions } from './EngineOptions';
import { EngineServer } from './EngineServer';

async function startEngine(
  context: TestContext,
  options: Partial<EngineOptions> = {},
): Promise<{ url: string; engine: EngineServer }> {
  const engine = new EngineServer({
    listen: '127.0.0.1:0',
    name: 'engine',
    models: ['crew-8b'],
    slots: 2,
    prefillRate: 1_000_000,
    decodeRate: 1000,
    ...options,
  });
  await engine.start();
  context.after(() => engine.stop());
  return { url: `http://${engine.address}`, engine };
}

function completion(prompt: string, fields: Record<string, unknown> = {}): string {
  return JSON.stringify({ prompt, stream: true, metadata: { answer_tokens: '40' }, ...fields });
}

function post(url: string, body: string, id = 's1'): Promise<Response> {
  return fetch(url, { method: 'POST', body, headers: { 'x-stream-id': id } });
}

function textOf(events: string): string {
  const texts = [...events.matchAll(/"text":"([^"]*)"/g)].map(([, text]) => text);
  return texts.join('');
}

test('an engine streams the whole answer and states its usage', async (context) => {
  const { url } = await startEngine(context);
  const answer = await post(`${url}/v1/completions`, completion('hello'));
  const events = await answer.text();
  assert.equal(textOf(events), expectedAnswer('hello', 40));
  assert.ok(events.endsWith('data: [DONE]\n\n'));
  assert.match(events, /"completion_tokens":40/);
});

test('a stream can be paused, moved to another engine and read there to its end', async (context) => {
  const first = await startEngine(context, { decodeRate: 100 });
  const second = await startEngine(context);
  const answer = await post(`${first.url}/v1/completions`, completion('hello'));
  const reader = (answer.body as ReadableStream<Uint8Array>).getReader();
  await reader.read();
  const paused = await fetch(`${first.url}/v1/streams/s1/pause`, { method: 'POST' });
  assert.equal(paused.status, 200);
  const exported = await (await fetch(`${first.url}/v1/streams/s1/kv`)).text();
  assert.equal((await post(`${second.url}/v1/streams`, exported)).status, 200);
  const rest = await (await fetch(`${second.url}/v1/streams/s1?offset=0`)).text();
  assert.equal(textOf(rest), expectedAnswer('hello', 40));
  assert.equal((await fetch(`${first.url}/v1/streams/s1`)).status, 404);
  await reader.cancel().catch(() => {});
});

test('a stream goes on when its connection is lost, and is resumed from an offset', async (context) => {
  const { url } = await startEngine(context, { decodeRate: 200 });
  const abort = new AbortController();
  const headers = { 'x-stream-id': 's1' };
  const body = completion('hello');
  const { signal } = abort;
  await fetch(`${url}/v1/completions`, { method: 'POST', body, headers, signal });
  abort.abort();
  const rest = await (await fetch(`${url}/v1/streams/s1?offset=30`)).text();
  assert.ok(expectedAnswer('hello', 40).endsWith(textOf(rest)));
  assert.equal(textOf(rest).split(' ').length - 1, 10);
});

test('a cancelled stream ends broken', async (context) => {
  const { url, engine } = await startEngine(context, { decodeRate: 10 });
  const answer = await post(`${url}/v1/completions`, completion('hello'));
  await fetch(`${url}/v1/streams/s1`, { method: 'DELETE' });
  await assert.rejects(answer.text());
  assert.equal(engine.batch.runningCount, 0);
});

test('a repeated prefix is cached, and cache events come late, numbered and with gaps', async (context) => {
  const { url } = await startEngine(context, { cacheEventDelayMs: 100, cacheEventLoss: 0.5 });
  const prompt = 'x'.repeat(1024);
  await (await post(`${url}/v1/completions`, completion(prompt))).text();
  const again = await (await post(`${url}/v1/completions`, completion(prompt), 's2')).text();
  assert.match(again, /"cached_tokens":256/);
  for (let i = 0; i < 20; i += 1) {
    const body = completion(`${i}`.repeat(1024));
    await (await post(`${url}/v1/completions`, body, `t${i}`)).text();
  }
  const read = async () => {
    const answer = await fetch(`${url}/cache-events?after=0`);
    return ((await answer.json()) as { events: { sequence: number }[] }).events;
  };
  await new Promise((resolve) => {
    setTimeout(resolve, 150);
  });
  const events = await read();
  assert.ok(events.length > 0 && events.length < 21, String(events.length));
  assert.ok((events.at(-1)?.sequence ?? 0) > events.length, 'a lost event leaves a gap');
});

test('an engine that checks fences refuses an old one; the other kind takes it', async (context) => {
  for (const checksFence of [true, false]) {
    const { url } = await startEngine(context, { checksFence });
    const order = (fence: number) => post(`${url}/orders`, JSON.stringify({ fence, order: 'o' }));
    assert.equal((await order(5)).status, 200);
    assert.equal((await order(4)).status, checksFence ? 409 : 200);
  }
});

test('load reports lag, and the lag and the speed are switched while it runs', async (context) => {
  const { url, engine } = await startEngine(context, { decodeRate: 1 });
  const load = async () => {
    const answer = await fetch(`${url}/load`);
    return ((await answer.json()) as { running: number }).running;
  };
  await post(`${url}/admin`, JSON.stringify({ load_lag_ms: 60_000, speed: 0.1 }));
  assert.equal(engine.batch.speed, 0.1);
  await new Promise((resolve) => {
    setTimeout(resolve, 120);
  });
  await post(`${url}/v1/completions`, completion('hello'));
  assert.equal(await load(), 0);
  await post(`${url}/admin`, JSON.stringify({ load_lag_ms: 0 }));
  assert.equal(await load(), 1);
});

test('a marked prompt crashes the engine, whose history file outlives it', async (context) => {
  const folder = mkdtempSync(join(tmpdir(), 'berylwood-engine-'));
  context.after(() => rmSync(folder, { recursive: true }));
  const history = join(folder, 'history.jsonl');
  let crashes = 0;
  const onCrash = (): void => {
    crashes += 1;
  };
  const { url } = await startEngine(context, { crashMark: 'poison', history, onCrash });
  assert.equal((await post(`${url}/v1/completions`, completion('a poison pill'))).status, 500);
  assert.equal(crashes, 1);
  const kinds = readFileSync(history, 'utf8').trim().split('\n');
  assert.deepEqual(
    kinds.map((line) => (JSON.parse(line) as { kind: string }).kind),
    ['run', 'crash'],
  );
});
