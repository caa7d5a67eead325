import assert from 'node:assert/strict';
import test from 'node:test';
import { until } from '@berylwood/testing';
import {
  TEST_TIMEOUT,
  countRecords,
  createDeployment,
  createEngines,
  createService,
  placeOrder,
  stream,
} from './fixtures';

test(
  'a withdrawn key ends streams, rejects waiting requests and lets calls complete',
  TEST_TIMEOUT,
  async (t) => {
    const fixture = await createDeployment(t, {
      endpoints: [...createEngines(1, { slots: 1 }), createService('service-1')],
      extra: { standIn: 'delay_ms = 4000', sidecar: 'queue = 1' },
    });
    const running = stream(fixture, 'running', 2000);
    const call = placeOrder(fixture, 'k1', 'order 1');
    await until('both run', async () => {
      const runs = await countRecords(fixture, 'engine-1', 'run');
      return runs === 1 && (await countRecords(fixture, 'service-1', 'call')) === 1;
    });
    const waiting = [stream(fixture, 'waiting 1', 10), stream(fixture, 'waiting 2', 10)];
    await fixture.deployment.operate('keys', 'withdraw', fixture.key);
    const cut = await running;
    assert.equal(cut.status, 200);
    assert.equal(cut.isWhole, false);
    assert.equal(cut.error?.type, 'keyWithdrawn');
    for (const reply of await Promise.all(waiting)) {
      assert.equal(reply.status, 401);
      assert.ok(['keyRefused', 'keyWithdrawn'].includes(String(reply.error?.type)));
    }
    assert.equal((await stream(fixture, 'later', 10)).status, 401);
    assert.equal((await call).status, 200);
    await until(
      'the engine received the cancellation',
      async () => (await countRecords(fixture, 'engine-1', 'cancel')) > 0,
    );
  },
);
