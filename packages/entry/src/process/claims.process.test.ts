import assert from 'node:assert/strict';
import test, { type TestContext } from 'node:test';
import { until } from '@berylwood/testing';
import {
  TEST_TIMEOUT,
  countRecords,
  createDeployment,
  createService,
  placeOrder,
  type ProcessFixture,
} from './fixtures';

const CALL_MS = 1500;

function createOrderServices(t: TestContext, delayMs: number): Promise<ProcessFixture> {
  return createDeployment(t, {
    entries: 2,
    endpoints: [createService('service-1'), createService('service-2')],
    extra: { standIn: `delay_ms = ${delayMs}` },
  });
}

async function countCalls(fixture: ProcessFixture): Promise<number> {
  const counts = await Promise.all(
    ['service-1', 'service-2'].map((name) => countRecords(fixture, name, 'call')),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}

test(
  'a call with an idempotency key runs once when it is resent through both entries',
  TEST_TIMEOUT,
  async (t) => {
    const fixture = await createOrderServices(t, 20);
    const copies = [1, 2, 1, 2, 1, 2].map((entry) => placeOrder(fixture, 'k1', 'order 1', entry));
    const statuses = (await Promise.all(copies)).map(({ status }) => status);
    assert.ok(statuses.includes(200), String(statuses));
    assert.ok(
      statuses.every((status) => status === 200 || status === 409),
      String(statuses),
    );
    // The response can reach the caller before the outcome is stored.
    await until('the outcome is stored', async () => {
      const resent = await placeOrder(fixture, 'k1', 'order 1', 2);
      if (resent.status === 409) assert.equal(resent.body.error?.type, 'claimRunning');
      return resent.status === 200 && resent.replayed && resent.body.runs === 1;
    });
    const other = await placeOrder(fixture, 'k1', 'order 2');
    assert.deepEqual([other.status, other.body.error?.type], [409, 'claimConflict']);
    const bare = await placeOrder(fixture, undefined, 'order 3');
    assert.deepEqual([bare.status, bare.body.error?.not_run], [400, true]);
    assert.equal(await countCalls(fixture), 1);
  },
);

test(
  'a call completes after its entry was killed, and a resend gets the stored outcome',
  TEST_TIMEOUT,
  async (t) => {
    const fixture = await createOrderServices(t, CALL_MS);
    const cut = placeOrder(fixture, 'k2', 'order 1', 1).catch(() => undefined);
    await until('it runs', async () => (await countCalls(fixture)) === 1);
    await fixture.deployment.process('entry-1').kill();
    await cut;
    const running = await placeOrder(fixture, 'k2', 'order 1', 2);
    assert.deepEqual([running.status, running.body.error?.type], [409, 'claimRunning']);
    await until('its outcome is stored', async () => {
      const { status, replayed } = await placeOrder(fixture, 'k2', 'order 1', 2);
      return status === 200 && replayed;
    });
    assert.equal(await countCalls(fixture), 1);
  },
);

test(
  'a call whose sidecar is killed has an unknown outcome and is not run again',
  TEST_TIMEOUT,
  async (t) => {
    const fixture = await createOrderServices(t, CALL_MS);
    const cut = placeOrder(fixture, 'k3', 'order 1', 1);
    await until('it runs', async () => (await countCalls(fixture)) === 1);
    const [ran] = await Promise.all(
      ['service-1', 'service-2'].map(async (name) =>
        (await countRecords(fixture, name, 'call')) === 1 ? name : 'service-2',
      ),
    );
    const sidecar = fixture.deployment.process(`sidecar-${ran}`);
    await sidecar.kill();
    sidecar.start();
    const { status, body } = await cut;
    assert.deepEqual([status, body.error?.not_run], [504, 'unknown']);
    const resent = await placeOrder(fixture, 'k3', 'order 1', 2);
    assert.ok([409, 504].includes(resent.status), JSON.stringify(resent));
    assert.notEqual(resent.body.error?.not_run, true);
    assert.equal(await countCalls(fixture), 1);
  },
);

test(
  'a call that no sidecar accepted is retried on another endpoint and runs once',
  TEST_TIMEOUT,
  async (t) => {
    const fixture = await createOrderServices(t, 5);
    await fixture.deployment.process('service-1').kill();
    const orders = Array.from({ length: 6 }, (_, index) =>
      placeOrder(fixture, `k4-${index}`, `order ${index}`, 1 + (index % 2)),
    );
    for (const { status, body } of await Promise.all(orders)) {
      assert.equal(status, 200, JSON.stringify(body));
      assert.equal(body.runs, 1);
    }
    assert.equal(await countRecords(fixture, 'service-2', 'call'), 6);
  },
);
