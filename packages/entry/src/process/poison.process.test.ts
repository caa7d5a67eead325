import assert from 'node:assert/strict';
import test from 'node:test';
import { until } from '@berylwood/testing';
import {
  TEST_TIMEOUT,
  countRecords,
  createDeployment,
  createEngines,
  stream,
  completeText,
} from './fixtures';

const ENGINES = 5;
const TOKENS = 100;

test(
  'a request that crashes engines is held back after two, and its neighbours are not',
  TEST_TIMEOUT,
  async (t) => {
    const fixture = await createDeployment(t, {
      entries: 2,
      endpoints: createEngines(ENGINES, { slots: 4 }),
      extra: { standIn: 'crash_mark = "poison"' },
    });
    const neighbours = Array.from({ length: 10 }, (_, index) =>
      stream(fixture, `innocent ${index}`, TOKENS, 1 + (index % 2)),
    );
    await until('the engines run them', async () => {
      const names = createEngines(ENGINES).map(({ name }) => name);
      const runs = await Promise.all(names.map((name) => countRecords(fixture, name, 'run')));
      return runs.reduce((sum, count) => sum + count, 0) === neighbours.length;
    });
    for (let resend = 0; resend < 6; resend += 1) {
      await stream(fixture, 'poison', 10, 1 + (resend % 2));
    }
    const last = await stream(fixture, 'poison', 10, 2);
    assert.deepEqual([last.status, last.error?.type], [422, 'quarantined']);
    const alive = [...fixture.deployment.processes.values()].filter(
      ({ name, isRunning }) => name.startsWith('engine-') && isRunning,
    );
    assert.equal(alive.length, ENGINES - 2);
    for (const reply of await Promise.all(neighbours)) {
      // A response that had started when its engine crashed ends with an error.
      assert.ok(reply.isWhole || reply.error?.type === 'endpointFailed', JSON.stringify(reply));
    }
    for (let index = 0; index < 4; index += 1) {
      const again = await stream(fixture, `innocent ${index}`, 10, 1 + (index % 2));
      assert.equal(again.text, completeText(`innocent ${index}`, 10), JSON.stringify(again));
    }
  },
);
