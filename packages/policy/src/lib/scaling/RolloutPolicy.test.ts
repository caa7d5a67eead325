import assert from 'node:assert/strict';
import test from 'node:test';
import { asId } from '@berylwood/base';
import type { EngineSetup, RolloutEndpoint } from './RolloutPolicy';
import { RolloutPolicy } from './RolloutPolicy';

const GIGABYTE = 1e9;
const currentSetup: EngineSetup = { model: 'model', version: '1', adapters: [], role: 'both' };
const desired: EngineSetup = { ...currentSetup, version: '2' };

const createEndpoint = (index: number): RolloutEndpoint => ({
  endpoint: asId(`e${index}`),
  dataCentre: asId(`dc${index % 3}`),
  setup: currentSetup,
  desired,
  state: 'serving',
  load: 2,
  loadBytes: 10 * GIGABYTE,
});

test('rolls out one data centre at a time, within the store rate, and keeps the capacity', () => {
  const policy = new RolloutPolicy({ storeBytesPerSecond: GIGABYTE, minimumServing: 0.75 });
  let endpoints = Array.from({ length: 9 }, (_, i) => createEndpoint(i));
  const loadedAt: number[] = [];
  for (let now = 0; now < 300_000; now += 1_000) {
    const decisions = policy.decide(endpoints, now);
    endpoints = endpoints.map((endpoint) => {
      const decision = decisions.find((item) => item.endpoint === endpoint.endpoint);
      if (decision?.type === 'drain') return { ...endpoint, state: 'draining' };
      if (decision?.type === 'load') {
        assert.equal(endpoint.load, 0);
        loadedAt.push(now);
        return { ...endpoint, state: 'loading' };
      }
      if (endpoint.state === 'draining') return { ...endpoint, load: 0 };
      const isLoaded = endpoint.state === 'loading' && now - (loadedAt.at(-1) ?? 0) >= 10_000;
      return isLoaded ? { ...endpoint, state: 'serving', setup: desired } : endpoint;
    });
    const outOfService = endpoints.filter(({ state }) => state !== 'serving');
    assert.ok(outOfService.length <= 2);
    assert.ok(new Set(outOfService.map(({ dataCentre }) => dataCentre)).size <= 1);
  }
  assert.ok(endpoints.every(({ setup }) => setup.version === '2'));
  const gaps = loadedAt.slice(1).map((at, i) => at - (loadedAt[i] as number));
  assert.ok(
    gaps.every((gap) => gap >= 10_000),
    `${gaps}`,
  );
});

test('makes no decision for an endpoint that has the desired setup', () => {
  const policy = new RolloutPolicy({ storeBytesPerSecond: GIGABYTE });
  assert.deepEqual(policy.decide([{ ...createEndpoint(1), setup: desired }], 0), []);
});
