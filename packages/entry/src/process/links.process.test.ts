import assert from 'node:assert/strict';
import test from 'node:test';
import { until } from '@berylwood/testing';
import { TEST_TIMEOUT, countRecords, createDeployment, stream, completeText } from './fixtures';

const TOKENS = 160;

test(
  'responses survive resets, stalls and delays of the link between entry and sidecar',
  TEST_TIMEOUT,
  async (t) => {
    const fixture = await createDeployment(t, { relays: true });
    const relay = fixture.deployment.relay('entries', 'sidecar-engine-1');
    const prompts = ['reset', 'silent', 'delayed'];
    const replies = prompts.map((prompt) => stream(fixture, prompt, TOKENS));
    await until(
      'the engine runs them',
      async () => (await countRecords(fixture, 'engine-1', 'run')) === prompts.length,
    );
    relay.reset();
    await until('the entry is connected again', () => relay.openCount > 0);
    relay.delay(30);
    relay.forget();
    for (const [index, reply] of (await Promise.all(replies)).entries()) {
      assert.equal(reply.status, 200);
      assert.ok(reply.isWhole, JSON.stringify(reply.error));
      assert.equal(reply.text, completeText(prompts[index] ?? '', TOKENS));
    }
    assert.equal(await countRecords(fixture, 'engine-1', 'run'), prompts.length);
  },
);

test(
  'a stalled stream of an engine is resumed without loss or repetition',
  TEST_TIMEOUT,
  async (t) => {
    const fixture = await createDeployment(t, { relays: true });
    const relay = fixture.deployment.relay('sidecar-engine-1', 'engine-1');
    const reply = stream(fixture, 'quiet', TOKENS);
    await until(
      'the engine runs it',
      async () => (await countRecords(fixture, 'engine-1', 'run')) === 1,
    );
    relay.forget();
    const { text, isWhole, durationMs } = await reply;
    assert.ok(isWhole);
    assert.equal(text, completeText('quiet', TOKENS));
    assert.equal(await countRecords(fixture, 'engine-1', 'run'), 1);
    assert.ok((await countRecords(fixture, 'engine-1', 'resume')) > 0);
    assert.ok(durationMs < 9000, `took ${durationMs} ms`);
  },
);
