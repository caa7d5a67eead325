import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import test, { type TestContext } from 'node:test';
import fc from 'fast-check';
import { resetSocket } from './resetSocket';

/** More than the buffers of a connection hold, in bytes. */
const BLOCKING_BYTES = 32 * 1024 * 1024;

const steps = {
  write: (socket: Socket) => socket.write('a'),
  block: (socket: Socket) => socket.write(Buffer.alloc(BLOCKING_BYTES)),
  end: (socket: Socket) => socket.end(),
  tick: () =>
    new Promise<void>((resolve) => {
      process.nextTick(resolve);
    }),
  turn: () =>
    new Promise<void>((resolve) => {
      setImmediate(resolve);
    }),
};

async function createPeer(t: TestContext, allowHalfOpen: boolean): Promise<number> {
  const sockets = new Set<Socket>();
  const server = createServer({ allowHalfOpen }, (socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    if (allowHalfOpen) socket.end();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

// Guards against a socket that is never closed, since it is reset while its orderly end is being sent.
for (const endsFirst of [false, true]) {
  test(`a connection closes with a reset at any moment, its peer ${endsFirst ? 'ending first' : 'silent'}`, async (t) => {
    const port = await createPeer(t, endsFirst);
    const names = Object.keys(steps) as (keyof typeof steps)[];
    const property = fc.asyncProperty(
      fc.boolean(),
      fc.array(fc.constantFrom(...names), { maxLength: 4 }),
      fc.integer({ min: 1, max: 2 }),
      async (isConnected, taken, resets) => {
        const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true }).resume();
        const errors: Error[] = [];
        socket.on('error', (error) => errors.push(error));
        const closed = new Promise<boolean>((resolve) => {
          socket.once('close', () => resolve(true));
        });
        if (isConnected) await once(socket, 'connect');
        for (const name of taken) {
          if (!socket.writableEnded || name === 'tick' || name === 'turn')
            await steps[name](socket);
        }
        for (let count = 0; count < resets; count += 1) resetSocket(socket);
        const limit = new Promise<boolean>((resolve) => {
          setTimeout(resolve, 5000, false).unref();
        });
        assert.ok(await Promise.race([closed, limit]), `not closed: ${errors.join()}`);
        assert.deepEqual(
          errors.map(String).filter((text) => text.includes('EINVAL')),
          [],
        );
      },
    );
    await fc.assert(property, { numRuns: 300, seed: 1 });
  });
}
