import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import type { Dispatch } from '@berylwood/schema';
import { Pool } from 'undici';
import { EngineRun } from './EngineRun';

const EVENT = 'data: {"id":"a-1","choices":[{"text":"piece 1"}]}\n\n';

// Guards against a failure of an engine that is appended to the stream it fails to resume.
test('a stream is not continued with the body of a failure', async (t) => {
  const server = createServer((request, response) => {
    if (request.method === 'POST') {
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      response.write(EVENT, () => setTimeout(() => response.destroy(), 20));
    } else {
      response.writeHead(500, { 'content-type': 'text/plain' });
      response.end('data: x\n\n');
    }
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const pool = new Pool(`http://${address}`);
  t.after(async () => {
    await pool.destroy();
    server.close();
  });
  const parts: Uint8Array[] = [];
  const sink = {
    head: () => {},
    data: (bytes: Uint8Array) => {
      parts.push(Buffer.from(bytes));
      return undefined;
    },
  };
  const engine = { pool, address, restarts: 0, load: async () => {} };
  const dispatch = { path: '/v1/chat/completions', headers: {}, body: Buffer.from('{}') };
  const run = new EngineRun(
    engine,
    { ...dispatch, attempt: 'a-1', tier: 0 } as unknown as Dispatch,
    sink,
    AbortSignal.timeout(3000),
  );
  await run.run().catch(() => {});
  assert.equal(Buffer.concat(parts).toString(), EVENT);
});
