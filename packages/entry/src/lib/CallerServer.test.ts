import assert from 'node:assert/strict';
import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { get } from 'node:https';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type TestContext } from 'node:test';
import { SystemTimer, VirtualTimer, createSilentJournal } from '@berylwood/base';
import { ReadScheduler, splitAddress } from '@berylwood/link';
import { BodyBudget } from '@berylwood/policy';
import { settingsSchema } from '@berylwood/schema';
import { createAuthority } from '@berylwood/testing';
import { CallerServer } from './CallerServer';
import { CertificateWatch } from './CertificateWatch';

function createSettings() {
  const entry = { listen: '127.0.0.1:0', control: ['127.0.0.1:1'], headersTimeoutMs: 300 };
  const { entry: settings } = settingsSchema.parse({ process: { name: 'test' }, entry });
  assert.ok(settings);
  return settings;
}

/** What the connections of a server share, without a limit that a test meets. */
function createPace() {
  const bodies = new BodyBudget({
    maxBytes: Infinity,
    maxUnfinished: Infinity,
    now: () => performance.now(),
    onEnded: () => {},
  });
  return {
    timer: new SystemTimer(),
    scheduler: new ReadScheduler(() => performance.now()),
    input: { open: (onEnd: () => void) => bodies.open('request', onEnd) },
  };
}

async function createServer(t: TestContext, watch?: CertificateWatch): Promise<string> {
  const handlers = {
    serve: async () => {},
    isReady: () => true,
    metrics: async () => '',
  };
  const server = new CallerServer(createSettings(), handlers, createPace(), watch);
  const address = await server.listen();
  t.after(() => server.close());
  return address;
}

/** Sends raw text and resolves to all data received until the server closes the connection. */
function sendRaw(address: string, text: string): Promise<string> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const socket = connect(port, host, () => socket.write(text));
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk;
    });
    socket.on('close', () => resolve(received));
    socket.on('error', () => {});
  });
}

function fetchSubject(address: string, authority: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const ca = readFileSync(authority);
    const checkServerIdentity = () => undefined;
    const url = `https://${address}/healthz`;
    get(url, { ca, checkServerIdentity, agent: false }, (answer) => {
      const { subject } = (answer.socket as import('node:tls').TLSSocket).getPeerCertificate();
      answer.resume().on('end', () => resolve(String(subject.CN)));
    }).on('error', reject);
  });
}

test('new connections use a changed certificate, and an unusable one is ignored', async (t) => {
  const directory = mkdtempSync(join(tmpdir(), 'berylwood-tls-'));
  t.after(() => rmSync(directory, { recursive: true }));
  const authority = createAuthority(directory);
  const [first, second] = [authority.sign('first'), authority.sign('second')];
  const files = { certificate: join(directory, 'used.pem'), key: join(directory, 'used.key') };
  const install = ({ certificate, key }: typeof first): void => {
    copyFileSync(certificate, files.certificate);
    copyFileSync(key, files.key);
  };
  install(first);
  const timer = new VirtualTimer();
  const watch = new CertificateWatch(files, timer, createSilentJournal(timer));
  const address = await createServer(t, watch);
  assert.equal(await fetchSubject(address, authority.file), 'first');
  install(second);
  timer.advance(2000);
  assert.equal(await fetchSubject(address, authority.file), 'second');
  writeFileSync(files.certificate, 'broken');
  timer.advance(2000);
  assert.equal(await fetchSubject(address, authority.file), 'second');
});

test('requests of ambiguous length and slow headers are rejected', async (t) => {
  const address = await createServer(t);
  const head = 'POST /v1/completions HTTP/1.1\r\nhost: a\r\n';
  const both = `${head}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`;
  const twice = `${head}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd`;
  const folded = `${head}content-length : 3\r\n\r\nabc`;
  for (const text of [both, twice, folded]) {
    assert.match(await sendRaw(address, text), /^HTTP\/1\.1 400 /);
  }
  const startedAt = new SystemTimer().now();
  assert.match(await sendRaw(address, head), /^HTTP\/1\.1 408 /);
  assert.ok(new SystemTimer().now() - startedAt < 3000);
});

test('closing waits for a response in progress, then closes its persistent connection', async (t) => {
  let finish = (): void => {};
  const handlers = {
    serve: async (_: IncomingMessage, response: ServerResponse) => {
      response.writeHead(200, { 'content-length': 4 });
      response.write('an');
      finish = () => response.end('sw');
    },
    isReady: () => true,
    metrics: async () => '',
  };
  const server = new CallerServer(createSettings(), handlers, createPace());
  const address = await server.listen();
  const { host, port } = splitAddress(address);
  const socket = connect(port, host, () => socket.write('GET /x HTTP/1.1\r\nHost: x\r\n\r\n'));
  t.after(() => socket.destroy());
  let received = '';
  await new Promise<void>((resolve) => {
    socket.on('data', (chunk) => {
      received += chunk;
      if (received.endsWith('an')) resolve();
    });
  });
  const closed = server.close();
  finish();
  const timer = new SystemTimer();
  const outcome = await Promise.race([closed.then(() => 'closed'), timer.sleep(3000)]);
  assert.equal(outcome, 'closed');
  assert.ok(received.endsWith('answ'));
});
