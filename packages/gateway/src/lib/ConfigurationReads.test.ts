import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { test } from 'node:test';
import { deflateRawSync } from 'node:zlib';
import { Metrics, VirtualTimer, createSilentJournal, fail } from '@berylwood/base';
import { listenOn } from '@berylwood/link';
import type { Mesh, OperatorListener, StoredConfiguration } from '@berylwood/registry';
import { ok } from 'neverthrow';
import { gatewayCodes } from './codes';
import { ConfigurationReads, type ConfigurationReadsOptions } from './ConfigurationReads';

const DOCUMENT = JSON.stringify({ version: 3 });

const LISTENER: OperatorListener = { address: '10.0.0.1:80', linkMbps: 70 };

const stored: Mesh['readNewest'] = async () =>
  ok({ version: 3, body: deflateRawSync(Buffer.from(DOCUMENT)) });

/** Reads once from a server with the given parts; counts the confirmations that it asks for. */
async function read(
  readNewest: Mesh['readNewest'],
  parts: Partial<Pick<ConfigurationReadsOptions, 'redirects' | 'documentBytes'>> = {},
) {
  let confirmations = 0;
  const timer = new VirtualTimer();
  const metrics = new Metrics();
  const reads = new ConfigurationReads({
    mesh: {
      readNewest: () => {
        confirmations += 1;
        return readNewest();
      },
    },
    journal: createSilentJournal(timer),
    metrics,
    timer,
    linkMbps: 7,
    redirects: { find: () => undefined },
    documentBytes: () => 0,
    ...parts,
  });
  const server = createServer((request, response) => {
    reads.serve(request, response);
  });
  const address = await listenOn(server, '127.0.0.1:0');
  try {
    const response = await fetch(`http://${address}/config?a=1`, { redirect: 'manual' });
    const text = await response.text();
    const { status, headers } = response;
    return { status, headers, text, confirmations, exposed: await metrics.expose() };
  } finally {
    server.close();
    server.closeAllConnections();
  }
}

test('a read returns the document as it was sent', async () => {
  const { status, text, exposed } = await read(stored);
  assert.equal(status, 200);
  assert.equal(text, DOCUMENT);
  assert.match(exposed, /configuration_reads_total\{outcome="sent"\} 1/);
});

test('a read that nobody confirms is answered with 503 and Retry-After', async () => {
  for (const readNewest of [
    async () => fail<StoredConfiguration>(gatewayCodes.unconfigured, 'no leader'),
    async () => ok(undefined),
  ]) {
    const { status, headers, exposed } = await read(readNewest);
    assert.equal(status, 503);
    assert.equal(headers.get('retry-after'), '0.2');
    assert.match(exposed, /configuration_reads_total\{outcome="postponed"\} 1/);
  }
});

test('a large document is redirected by the size of the one in force, without a confirmation', async () => {
  const redirects = { find: (bytes: number) => (bytes > 1000 ? LISTENER : undefined) };
  const { status, headers, confirmations } = await read(stored, {
    redirects,
    documentBytes: () => 2000,
  });
  assert.equal(status, 307);
  assert.equal(headers.get('location'), 'http://10.0.0.1:80/config?a=1');
  assert.equal(confirmations, 0);
});

// Guards against a slow response right after the change that made the document large.
test('a document that has just become large is redirected by its own size', async () => {
  const redirects = { find: (bytes: number) => (bytes > 5 ? LISTENER : undefined) };
  const { status, confirmations, exposed } = await read(stored, { redirects });
  assert.equal(status, 307);
  assert.equal(confirmations, 1);
  assert.match(exposed, /configuration_reads_total\{outcome="redirected"\} 1/);
});
