import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'node:test';
import { createAuthority } from '@berylwood/testing';
import { WebSocket } from 'ws';
import { TEST_TIMEOUT, createDeployment, stream, completeText } from './fixtures';

/** Port of the first sidecar in a deployment. */
const SIDECAR_PORT = 23_000;

const FAILURES = 30;

function createTls(directory: string): string {
  const authority = createAuthority(directory);
  const { certificate, key } = authority.sign('peer');
  return `
[tls.peers]
certificate = "${certificate}"
key = "${key}"
authority = "${authority.file}"
`;
}

function tryLink(url: string, options: object): Promise<string> {
  return new Promise((resolve) => {
    const socket = new WebSocket(url, { rejectUnauthorized: false, ...options });
    socket.on('message', () => resolve('served'));
    socket.on('error', () => resolve('refused'));
    socket.on('close', () => resolve('refused'));
  });
}

test(
  'processes communicate over mutual TLS, and an unknown peer is rejected',
  TEST_TIMEOUT,
  async (t) => {
    const directory = mkdtempSync(join(tmpdir(), 'berylwood-tls-'));
    t.after(() => rmSync(directory, { recursive: true }));
    const fixture = await createDeployment(t, { extra: { process: createTls(directory) } });
    const reply = await stream(fixture, 'over TLS', 20);
    assert.equal(reply.text, completeText('over TLS', 20));
    const address = `${fixture.deployment.host}:${SIDECAR_PORT}/entry`;
    const stranger = createAuthority(directory, 'stranger').sign('stranger-peer');
    const identity = {
      cert: readFileSync(stranger.certificate),
      key: readFileSync(stranger.key),
    };
    assert.equal(await tryLink(`ws://${address}`, {}), 'refused');
    assert.equal(await tryLink(`wss://${address}`, {}), 'refused');
    assert.equal(await tryLink(`wss://${address}`, identity), 'refused');
    const own = {
      cert: readFileSync(join(directory, 'peer.pem')),
      key: readFileSync(join(directory, 'peer.key')),
    };
    assert.equal(await tryLink(`wss://${address}`, own), 'served');
  },
);

test(
  'keys appear in no log and at no endpoint, and only rejected keys are rate limited',
  TEST_TIMEOUT,
  async (t) => {
    const fixture = await createDeployment(t, {});
    const { deployment, secret } = fixture;
    const url = deployment.entryUrl(1);
    const send = (key: string, body: string, headers: Record<string, string> = {}) =>
      fetch(`${url}/v1/chat/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${key}`, ...headers },
        body,
      });
    const escaped = [...secret].map((sign) => `\\u00${sign.charCodeAt(0).toString(16)}`).join('');
    const message = `{"model":"crew-8b","messages":[{"role":"user","content":"x"}],"user":"${escaped}"}`;
    assert.equal((await send(secret, message)).status, 400);
    assert.equal((await send(secret, '['.repeat(1_000_000))).status, 400);
    const statuses = [];
    for (let index = 0; index < FAILURES; index += 1) {
      statuses.push((await send(`bw-wrong-${index}`, '{}')).status);
    }
    assert.equal(statuses[0], 401);
    assert.equal(statuses.at(-1), 429);
    const prompt = 'a good key';
    assert.equal((await stream(fixture, prompt, 5)).text, completeText(prompt, 5));
    const logs = [...deployment.processes.keys()].map((name) =>
      readFileSync(join(deployment.folder, `${name}.log`), 'utf8'),
    );
    assert.ok(logs.some((log) => log.includes('requestDispatched')));
    assert.ok(!logs.some((log) => log.includes(secret)));
    assert.ok(!JSON.stringify(await deployment.history('engine-1')).includes(secret));
  },
);
