import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, connect, type AddressInfo, type Socket } from 'node:net';
import test, { type TestContext } from 'node:test';
import { SystemTimer, createSilentJournal } from '@berylwood/base';
import fc from 'fast-check';
import { pack } from 'msgpackr';
import { ok } from 'neverthrow';
import { WebSocket } from 'ws';
import { z } from 'zod';
import { Dialer } from './Dialer';
import type { Link } from './Link';
import { LinkServer } from './LinkServer';
import { splitAddress } from './address';

type StringLink = Link<string, string>;

function createOptions() {
  const timer = new SystemTimer();
  const schema = z.string();
  return {
    timer,
    journal: createSilentJournal(timer),
    schema,
    keepAliveMs: 20,
    silenceTimeoutMs: 100,
  };
}

async function createPair(
  t: TestContext,
  toDialledAddress?: (address: string) => Promise<string>,
  options: { batchIntervalMs?: number; keepAliveMs?: number; silenceTimeoutMs?: number } = {},
) {
  const server = new LinkServer();
  const served: StringLink[] = [];
  server.accept<string, string>('/text', { ...createOptions(), ...options }, (link) => {
    served.push(link);
    link.onMessage = (message) => link.send(`echo ${message}`);
    link.onCall = async (message) => ok(message.length);
  });
  const bound = await server.listen('127.0.0.1:0');
  const address = toDialledAddress ? await toDialledAddress(bound) : bound;
  const dialer = new Dialer<string, string>({
    ...createOptions(),
    ...options,
    addresses: [address],
    path: '/text',
  });
  t.after(async () => {
    dialer[Symbol.dispose]();
    await server.close();
  });
  const nextLink = (): Promise<StringLink> =>
    new Promise((resolve) => {
      dialer.onLink = resolve;
    });
  const first = nextLink();
  dialer.open();
  return { link: await first, served, bound, nextLink };
}

/** A TCP relay that can stop passing bytes without closing. */
async function createPausableRelay(t: TestContext, target: string) {
  const sockets: Socket[] = [];
  const relay = createServer((near) => {
    const { host, port } = splitAddress(target);
    const far = connect(port, host);
    sockets.push(near, far);
    for (const socket of [near, far]) socket.on('error', () => {});
    near.pipe(far);
    far.pipe(near);
  });
  relay.listen(0, '127.0.0.1');
  await once(relay, 'listening');
  t.after(() => {
    sockets.forEach((socket) => socket.destroy());
    relay.close();
  });
  const pause = (): void => sockets.forEach((socket) => socket.unpipe().pause());
  return { address: `127.0.0.1:${(relay.address() as AddressInfo).port}`, pause };
}

test('delivers messages in order and replies to calls', async (t) => {
  const { link } = await createPair(t);
  const received: string[] = [];
  link.onMessage = (message) => received.push(message);
  for (let i = 0; i < 100; i += 1) link.send(String(i));
  const reply = await link.call<number>('four');
  assert.equal(reply._unsafeUnwrap(), 4);
  assert.deepEqual(
    received,
    Array.from({ length: 100 }, (_, i) => `echo ${i}`),
  );
});

test(
  'batches ordinary messages, but not the first and urgent ones',
  { timeout: 5000 },
  async (t) => {
    const options = { batchIntervalMs: 60_000, keepAliveMs: 20_000, silenceTimeoutMs: 60_000 };
    const { link, served } = await createPair(t, undefined, options);
    const received: string[] = [];
    link.onMessage = (message) => received.push(message);
    const [server] = served as [StringLink];
    const arrived = (count: number): Promise<void> =>
      new Promise((resolve) => {
        link.onMessage = (message) => {
          received.push(message);
          if (received.length === count) resolve();
        };
      });
    server.send('first');
    await arrived(1);
    server.send('gathered');
    server.send('urgent', true);
    await arrived(3);
    assert.deepEqual(received, ['first', 'gathered', 'urgent']);
  },
);

test('drops a silent connection and opens another', async (t) => {
  let pause = (): void => {};
  const { link, nextLink } = await createPair(t, async (bound) => {
    const relay = await createPausableRelay(t, bound);
    pause = relay.pause;
    return relay.address;
  });
  const closed = new Promise<void>((resolve) => {
    const { onClose } = link;
    link.onClose = () => {
      onClose();
      resolve();
    };
  });
  const next = nextLink();
  const call = link.call('unanswered', 60_000);
  pause();
  await closed;
  assert.equal((await call)._unsafeUnwrapErr().code.name, 'linkLost');
  assert.notEqual(await next, link);
});

test('a message that fails validation closes the connection', async (t) => {
  const { link, served } = await createPair(t);
  const closed = new Promise<void>((resolve) => {
    (served[0] as StringLink).onClose = resolve;
  });
  link.send(42 as unknown as string);
  await closed;
});

// Guards against a peer whose bytes end the process, or the links of other peers.
test('any bytes of one peer leave the links of others open', async (t) => {
  const { link, bound } = await createPair(t, undefined, { silenceTimeoutMs: 10_000 });
  const frames = fc.oneof(
    fc.uint8Array({ maxLength: 60 }).map((bytes) => Buffer.from(bytes)),
    fc.anything().map((value) => pack(value)),
    fc.tuple(fc.anything(), fc.anything(), fc.array(fc.anything())).map((value) => pack(value)),
    fc.array(fc.tuple(fc.nat(5), fc.anything(), fc.anything())).map((value) => pack([0, 0, value])),
  );
  const property = fc.asyncProperty(frames, async (frame) => {
    const socket = new WebSocket(`ws://${bound}/text`);
    await once(socket, 'open');
    socket.send(frame);
    socket.close();
    await once(socket, 'close');
  });
  await fc.assert(property, { numRuns: 400, seed: 1 });
  const echoed = new Promise((resolve) => {
    link.onMessage = resolve;
  });
  link.send('a');
  assert.equal(await echoed, 'echo a');
});
