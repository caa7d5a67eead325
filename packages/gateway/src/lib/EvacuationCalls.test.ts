import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { test } from 'node:test';
import { VirtualTimer, createSilentJournal, fail } from '@berylwood/base';
import { listenOn } from '@berylwood/link';
import type { EvacuateOutcome, Mesh } from '@berylwood/registry';
import { ok } from 'neverthrow';
import { gatewayCodes } from './codes';
import { EvacuationCalls } from './EvacuationCalls';

const PREFIX = '/evacuations/';

const answer = (result: EvacuateOutcome['result']) => async () => ok({ result, revision: 1 });

/** Sends one call to a server whose registry answers as `evacuate` says. */
async function call(evacuate: Mesh['evacuate'], method: string, segment: string) {
  const orders: [string, boolean][] = [];
  const mesh: Pick<Mesh, 'evacuate'> = {
    evacuate: (dataCentre, isEvacuated) => {
      orders.push([dataCentre, isEvacuated]);
      return evacuate(dataCentre, isEvacuated);
    },
  };
  const timer = new VirtualTimer();
  const calls = new EvacuationCalls({ mesh, journal: createSilentJournal(timer), timer });
  const server = createServer((request, response) => {
    calls.serve(request, (request.url ?? '').slice(PREFIX.length), response);
  });
  const address = await listenOn(server, '127.0.0.1:0');
  try {
    const response = await fetch(`http://${address}${PREFIX}${segment}`, { method });
    await response.text();
    return { status: response.status, headers: response.headers, orders };
  } finally {
    server.close();
    server.closeAllConnections();
  }
}

test('POST starts and DELETE ends the evacuation of the named data centre', async () => {
  const started = await call(answer('inForce'), 'POST', 'zone%201');
  assert.equal(started.status, 200);
  assert.deepEqual(started.orders, [['zone 1', true]]);
  const ended = await call(answer('inForce'), 'DELETE', 'zone-2');
  assert.equal(ended.status, 200);
  assert.deepEqual(ended.orders, [['zone-2', false]]);
});

test('an unusable name or another method changes nothing', async () => {
  const invalid = await call(answer('inForce'), 'POST', '%zz');
  assert.equal(invalid.status, 400);
  const other = await call(answer('inForce'), 'PUT', 'a');
  assert.equal(other.status, 405);
  assert.equal(other.headers.get('allow'), 'DELETE, POST');
  assert.deepEqual([...invalid.orders, ...other.orders], []);
});

test('an order that is not in force is answered with 503 and Retry-After, so that it is sent again', async () => {
  const lost = async () => fail<EvacuateOutcome>(gatewayCodes.unconfigured, 'no leader');
  for (const evacuate of [lost, answer('outdated')]) {
    const { status, headers } = await call(evacuate, 'POST', 'a');
    assert.equal(status, 503);
    assert.equal(headers.get('retry-after'), '0.2');
  }
});

test('an order beyond the number of data centres ends the call', async () => {
  assert.equal((await call(answer('tooMany'), 'POST', 'a')).status, 409);
});
