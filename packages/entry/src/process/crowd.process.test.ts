import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Crowd, chunksOf, headOf, until } from '@berylwood/testing';
import { TEST_TIMEOUT, completeText, createDeployment, stream } from './fixtures';

/** Memory of the smallest machine that the pages name, in bytes. */
const MACHINE_BYTES = 178 * 1024 * 1024;

/** Heap that a process on that machine has. */
const NODE_OPTIONS = '--max-old-space-size=96 --max-semi-space-size=2';

const CLIENTS = 100;

const LARGE_CHUNK_BYTES = 65_536;

/** Time in which the process handles what the crowd has sent last, in milliseconds. */
const SETTLE_MS = 1000;

/** Largest resident memory of a process since its start, in bytes. */
function readPeakBytes(pid: number | undefined): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/^VmHWM:\s*(\d+) kB/m.exec(status)?.[1] ?? Infinity) * 1024;
}

/** Sends unfinished bodies at an entry and checks what must hold while their clients stay connected. */
async function withstand(
  t: TestContext,
  count: number,
  { piece, pieces }: { readonly piece: Buffer; readonly pieces: number },
): Promise<void> {
  process.env.NODE_OPTIONS = NODE_OPTIONS;
  t.after(() => delete process.env.NODE_OPTIONS);
  const fixture = await createDeployment(t, {});
  const { deployment, secret } = fixture;
  const { hostname: host, port } = new URL(deployment.entryUrl(1));
  const crowd = new Crowd();
  t.after(() => crowd[Symbol.dispose]());
  const head = headOf('POST /v1/chat/completions HTTP/1.1', {
    Host: host,
    Authorization: `Bearer ${secret}`,
    'Transfer-Encoding': 'chunked',
  });
  await crowd.send(count, { host, port: Number(port), head, piece, pieces });
  await sleep(SETTLE_MS);
  const entry = deployment.processes.get('entry-1');
  assert.ok(entry?.isRunning, 'the process has ended');
  const peakBytes = readPeakBytes(entry.pid);
  t.diagnostic(`peak ${peakBytes} bytes`);
  assert.ok(peakBytes < MACHINE_BYTES, `${peakBytes} bytes of memory`);
  await until('an ordinary request is answered', async () => {
    const { text } = await stream(fixture, 'ordinary', 5);
    return text === completeText('ordinary', 5);
  });
}

// Guards against memory of an entry that grows with the number of bodies that never end.
test('an entry withstands many unfinished bodies in large chunks', TEST_TIMEOUT, (t) =>
  withstand(t, CLIENTS, { piece: chunksOf(LARGE_CHUNK_BYTES, 1), pieces: 63 }),
);

// Guards against the memory of a buffer for each byte, which is a hundred times that byte.
test('an entry withstands many unfinished bodies in chunks of one byte', TEST_TIMEOUT, (t) =>
  withstand(t, 20, { piece: chunksOf(1, 1024), pieces: 64 }),
);
