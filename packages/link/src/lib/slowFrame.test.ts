import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { SystemTimer, createSilentJournal } from '@berylwood/base';
import { ok } from 'neverthrow';
import { z } from 'zod';
import { Dialer } from './Dialer';
import type { Link } from './Link';
import { LinkServer } from './LinkServer';
import { splitAddress } from './address';

const KEEP_ALIVE_MS = 20;
const SILENCE_TIMEOUT_MS = 100;

/** Bytes that the slow relay passes in each interval of `PASS_INTERVAL_MS`. */
const PASSED_BYTES = 4 * 1024;
const PASS_INTERVAL_MS = 5;

/** Size of a reply that takes six times the silence limit to arrive. */
const REPLY_BYTES = (6 * SILENCE_TIMEOUT_MS * PASSED_BYTES) / PASS_INTERVAL_MS;

const CALL_TIMEOUT_MS = 5000;

/** A TCP relay that passes what the target sends at a limited rate, until it is stopped. */
async function createSlowRelay(t: TestContext, target: string) {
  const sockets = new Set<Socket>();
  const timers = new Set<NodeJS.Timeout>();
  const relay = createServer((near) => {
    const { host, port } = splitAddress(target);
    const far = connect(port, host);
    for (const socket of [near, far]) {
      sockets.add(socket);
      socket.on('error', () => {});
    }
    near.pipe(far);
    const pass = (): void => {
      const part: unknown = far.read(Math.min(PASSED_BYTES, Math.max(1, far.readableLength)));
      if (part) near.write(part as Buffer);
    };
    far.pause();
    timers.add(setInterval(pass, PASS_INTERVAL_MS));
    near.on('close', () => far.destroy());
  });
  relay.listen(0, '127.0.0.1');
  await once(relay, 'listening');
  const stop = (): void => timers.forEach((timer) => clearInterval(timer));
  t.after(() => {
    stop();
    sockets.forEach((socket) => socket.destroy());
    relay.close();
  });
  return { address: `127.0.0.1:${(relay.address() as AddressInfo).port}`, stop };
}

/** Opens a link through a slow relay to a server whose replies have so many characters as it is asked for. */
async function openSlowLink(t: TestContext) {
  const timer = new SystemTimer();
  const options = {
    timer,
    journal: createSilentJournal(timer),
    schema: z.number(),
    keepAliveMs: KEEP_ALIVE_MS,
    silenceTimeoutMs: SILENCE_TIMEOUT_MS,
  };
  const server = new LinkServer();
  server.accept<number, number>('/numbers', options, (link) => {
    link.onCall = async (length) => ok('x'.repeat(length));
  });
  const relay = await createSlowRelay(t, await server.listen('127.0.0.1:0'));
  const dialer = new Dialer<number, number>({
    ...options,
    addresses: [relay.address],
    path: '/numbers',
  });
  t.after(async () => {
    dialer[Symbol.dispose]();
    await server.close();
  });
  const link = await new Promise<Link<number, number>>((resolve) => {
    dialer.onLink = resolve;
    dialer.open();
  });
  return { link, relay };
}

// Guards against a large message that can never arrive, since its link counts as silent meanwhile.
test('a frame that takes longer than the silence limit to arrive keeps its link open', async (t) => {
  const { link } = await openSlowLink(t);
  const reply = await link.call<string>(REPLY_BYTES, CALL_TIMEOUT_MS);
  assert.equal(reply.map((text) => text.length).unwrapOr(0), REPLY_BYTES);
});

test('a link that falls silent within a frame is dropped as soon as one between frames', async (t) => {
  const { link, relay } = await openSlowLink(t);
  const reply = link.call<string>(REPLY_BYTES, CALL_TIMEOUT_MS);
  await new Promise((resolve) => {
    setTimeout(resolve, 2 * SILENCE_TIMEOUT_MS);
  });
  relay.stop();
  const stoppedAt = performance.now();
  assert.ok((await reply).isErr());
  const silentMs = performance.now() - stoppedAt;
  assert.ok(silentMs < 3 * SILENCE_TIMEOUT_MS, `${silentMs} ms`);
});
