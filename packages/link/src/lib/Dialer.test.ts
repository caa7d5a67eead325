import assert from 'node:assert/strict';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import test, { type TestContext } from 'node:test';
import { SystemTimer, VirtualTimer, createSilentJournal } from '@berylwood/base';
import fc from 'fast-check';
import { z } from 'zod';
import { Dialer } from './Dialer';

const HOST = '127.0.0.1';

/** Time after which the kernel repeats an unanswered connection request, in milliseconds. */
const KERNEL_RETRY_MS = 1000;

/** Starts a process that accepts links and prints its port. */
async function createServerProcess(t: TestContext): Promise<{ child: ChildProcess; port: number }> {
  const script = `
    const { WebSocketServer } = require('ws');
    const server = new WebSocketServer({ host: '${HOST}', port: 0, backlog: 1 });
    server.on('listening', () => console.log(server.address().port));
  `;
  const child = spawn(process.execPath, ['-e', script], { stdio: ['ignore', 'pipe', 'inherit'] });
  t.after(() => child.kill('SIGKILL'));
  const [line] = (await once(child.stdout, 'data')) as [Buffer];
  return { child, port: Number(line.toString()) };
}

/** Fills the accept queue, so that the kernel drops further connection requests. */
function fillAcceptQueue(t: TestContext, port: number): Socket[] {
  const sockets = Array.from({ length: 8 }, () => connect(port, HOST));
  for (const socket of sockets) {
    socket.on('error', () => {});
    t.after(() => socket.destroy());
  }
  return sockets;
}

test('dials again at once when its connection request was lost', async (t) => {
  const { child, port } = await createServerProcess(t);
  child.kill('SIGSTOP');
  const fillers = fillAcceptQueue(t, port);
  const timer = new SystemTimer();
  await timer.sleep(50);
  const dialer = new Dialer<string, string>({
    timer,
    journal: createSilentJournal(timer),
    schema: z.string(),
    addresses: [`${HOST}:${port}`],
    path: '/',
    connectTimeoutMs: 3 * KERNEL_RETRY_MS,
    handshakeTimeoutMs: 50,
  });
  t.after(() => dialer[Symbol.dispose]());
  const opened = new Promise<void>((resolve) => {
    dialer.onLink = () => resolve();
  });
  dialer.open();
  await timer.sleep(100);
  for (const socket of fillers) socket.destroy();
  const resumedAt = timer.now();
  child.kill('SIGCONT');
  await opened;
  const elapsedMs = timer.now() - resumedAt;
  assert.ok(elapsedMs < KERNEL_RETRY_MS / 2, `opened after ${elapsedMs} ms`);
});

// Guards against an address received from a peer that ends the process that dials it.
test('an address that cannot be dialled is tried again and does not throw', () => {
  fc.assert(
    fc.property(fc.oneof(fc.string(), fc.webAuthority({ withPort: true })), (text) => {
      const timer = new VirtualTimer();
      const dialer = new Dialer<string, string>({
        timer,
        journal: createSilentJournal(timer),
        schema: z.string(),
        addresses: [`${text}\u0000`],
        path: '/',
      });
      dialer.open();
      timer.advance(KERNEL_RETRY_MS);
      dialer[Symbol.dispose]();
    }),
    { seed: 1 },
  );
});
