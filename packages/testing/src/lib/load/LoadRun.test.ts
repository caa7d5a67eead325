import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SystemTimer } from '@berylwood/base';
import { EngineServer } from '../engine/EngineServer';
import { checkAnswers } from '../checks/checkAnswers';
import { createConfiguration, createScenario } from './fixtures';
import { LoadRun } from './LoadRun';
import { isAnswered, summarize } from './summarize';

/** An engine of its own: entries have the same wire form. */
async function startEngine(slots: number): Promise<EngineServer> {
  const engine = new EngineServer({
    listen: '127.0.0.1:0',
    name: 'engine',
    models: ['crew-8b'],
    slots,
    prefillRate: 1_000_000,
    decodeRate: 400,
  });
  await engine.start();
  return engine;
}

function createRun(address: string, load: object): LoadRun {
  const scenario = createScenario(
    { durationS: 1, requestsPerSecond: 60, entries: [address], ...load },
    { endpoints: [{ address, pricePerHour: 1 }] },
  );
  const keys = new Map(
    ['large', 'small'].map((name) => [name, { key: name, secret: `secret-${name}` }]),
  );
  const timer = new SystemTimer();
  return new LoadRun({ timer, scenario, configuration: createConfiguration(), keys });
}

test('a load gets whole answers and counts the tokens that were generated', async (context) => {
  const engine = await startEngine(100);
  context.after(() => engine.stop());
  const records = await createRun(engine.address, {}).run();
  assert.ok(records.outcomes.length > 30);
  assert.ok(records.outcomes.every(isAnswered));
  assert.deepEqual(checkAnswers(records.outcomes), []);
  const tokens = records.outcomes.reduce((sum, outcome) => sum + outcome.tokens, 0);
  assert.equal(records.generatedTokens, tokens);
  assert.equal(summarize(records).wastedShare, 0);
});

test('slow answers hold up no later request', async (context) => {
  const engine = await startEngine(1);
  context.after(() => engine.stop());
  const records = await createRun(engine.address, { giveUpS: 1 }).run();
  assert.ok(records.lateMs < 500, String(records.lateMs));
  assert.ok(records.outcomes.some((outcome) => !isAnswered(outcome)));
  const spread = records.outcomes.map(({ arrival, sentAt }) => sentAt - arrival.atMs);
  assert.ok(Math.max(...spread) - Math.min(...spread) < 500, 'all were sent at their times');
});
