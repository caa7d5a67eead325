import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { VirtualTimer } from '@berylwood/base';
import { InstanceList } from './InstanceList';
import { PlatformServer, type PlatformOptions } from './PlatformServer';
import { WeightStore } from './WeightStore';

async function startPlatform(
  context: TestContext,
  options: Partial<PlatformOptions> = {},
): Promise<{ url: string; platform: PlatformServer }> {
  const platform = new PlatformServer({ listen: '127.0.0.1:0', ...options });
  await platform.start();
  context.after(() => platform.stop());
  return { url: `http://${platform.address}`, platform };
}

function post(url: string, id: string, fence: number, value: unknown): Promise<Response> {
  const headers = { 'berylwood-request': id, 'berylwood-fence': String(fence) };
  return fetch(url, { method: 'POST', body: JSON.stringify(value), headers });
}

function order(url: string, fence: number): Promise<Response> {
  const body = { type: 'start', dataCentre: 'naas', model: 'crew-8b' };
  return post(`${url}/orders`, `o${fence}`, fence, body);
}

test('the platform records orders with their fence, and refuses old ones when it checks', async (context) => {
  for (const checksFence of [true, false]) {
    const { url, platform } = await startPlatform(context, { checksFence });
    assert.equal((await order(url, 2)).status, 200);
    assert.equal((await order(url, 1)).status, checksFence ? 409 : 200);
    assert.deepEqual(
      platform.history.records.map(({ fields }) => [fields.fence, fields.refused]),
      [
        [2, false],
        [1, checksFence],
      ],
    );
  }
});

test('the platform repeats orders and loses answers as its seed says', async (context) => {
  const { url, platform } = await startPlatform(context, { orderRepeat: 1, answerLoss: 1 });
  await assert.rejects(order(url, 1));
  assert.equal(platform.history.records.length, 2);
});

test('the usage intake records the bytes of each report', async (context) => {
  const { url, platform } = await startPlatform(context);
  for (const tokens of [1, 1, 2]) await post(`${url}/usage`, 'w1', 1, { tokens });
  const digests = platform.history.records.map(({ fields }) => fields.digest);
  assert.equal(digests[0], digests[1]);
  assert.notEqual(digests[0], digests[2]);
});

test('the list of instances shows changes late', () => {
  const timer = new VirtualTimer();
  const list = new InstanceList(timer, 1000);
  list.set({ endpoint: 'engine-1', instance: 'i1', dataCentre: 'naas', state: 'live' });
  timer.advance(999);
  assert.deepEqual(list.instances, []);
  timer.advance(1);
  assert.equal(list.instances.length, 1);
  list.remove('engine-1');
  timer.advance(1000);
  assert.deepEqual(list.instances, []);
});

test('transfers from the weight store share its rate', async () => {
  const timer = new VirtualTimer();
  const store = new WeightStore(timer, 100);
  const ended: number[] = [];
  const transfers = [100, 50].map(async (bytes) => {
    await store.transfer(bytes);
    ended.push(bytes);
  });
  timer.advance(1000);
  await transfers[0];
  assert.deepEqual(ended, [100]);
  timer.advance(499);
  await Promise.resolve();
  assert.deepEqual(ended, [100]);
  timer.advance(1);
  await transfers[1];
  assert.deepEqual(ended, [100, 50]);
});
