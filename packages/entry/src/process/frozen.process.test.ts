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
  completeText,
} from './fixtures';

test(
  'requests whose sidecar is frozen or killed before a response are retried on another endpoint',
  TEST_TIMEOUT,
  async (t) => {
    const fixture = await createDeployment(t, { endpoints: createEngines(3) });
    const { deployment } = fixture;
    deployment.process('sidecar-engine-1').freeze();
    await deployment.process('sidecar-engine-2').kill();
    const prompts = Array.from({ length: 9 }, (_, index) => `request ${index}`);
    const replies = await Promise.all(prompts.map((prompt) => stream(fixture, prompt, 10)));
    for (const [index, { text, error }] of replies.entries()) {
      assert.equal(text, completeText(prompts[index] ?? '', 10), JSON.stringify(error));
    }
    deployment.process('sidecar-engine-1').thaw();
    await until('the thawed sidecar serves again', async () => {
      await Promise.all(prompts.map((prompt) => stream(fixture, `${prompt} again`, 10)));
      return (await countRecords(fixture, 'engine-1', 'run')) > 0;
    });
  },
);

test(
  'a call whose sidecar is frozen is not reported as "not run" and runs at most once',
  TEST_TIMEOUT,
  async (t) => {
    const endpoints = [createService('service-1')];
    const fixture = await createDeployment(t, { endpoints, extra: { standIn: 'delay_ms = 1000' } });
    const sidecar = fixture.deployment.process('sidecar-service-1');
    const call = placeOrder(fixture, 'k1', 'order 1');
    await until('it runs', async () => (await countRecords(fixture, 'service-1', 'call')) === 1);
    sidecar.freeze();
    const { status, body } = await call;
    assert.deepEqual([status, body.error?.not_run], [504, 'unknown']);
    sidecar.thaw();
    await until('the sidecar has stored the outcome', async () => {
      const resent = await placeOrder(fixture, 'k1', 'order 1');
      return resent.status === 200 && resent.replayed;
    });
    assert.equal(await countRecords(fixture, 'service-1', 'call'), 1);
  },
);
