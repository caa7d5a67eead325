import assert from 'node:assert/strict';
import test from 'node:test';
import { asId } from '@berylwood/base';
import { zoneSchema } from '@berylwood/schema';
import type { ClassDemand, ScaledEndpoint, ScalingInput } from './ScalingTypes';
import { ScalingPolicy } from './ScalingPolicy';

const STEP_MS = 5_000;
const START_UP_MS = 60_000;
const names = ['naas', 'portlaoise', 'drogheda'];

const createZones = (pricePerHour: number, minimum = 0) =>
  names.map((dataCentre) =>
    zoneSchema.parse({ dataCentre, model: 'model', pricePerHour, minimum, maximum: 4 }),
  );

const createDemand = (fields: Partial<ClassDemand> = {}): ClassDemand => ({
  class: 'chat',
  tier: 2,
  requestsPerSecond: 1,
  tokensPerRequest: 500,
  value: 0.01,
  ...fields,
});

/** Runs the policy on simulated endpoints. Returns the remaining ones and the decisions made. */
function run(
  demandAt: (now: number) => readonly ClassDemand[],
  endMs: number,
  zones = createZones(10),
) {
  const policy = new ScalingPolicy();
  const endpoints = new Map<string, ScaledEndpoint>();
  const log: string[] = [];
  const peak = { active: 0 };
  for (let now = 0; now <= endMs; now += STEP_MS) {
    for (const [name, endpoint] of endpoints) {
      const isUp = endpoint.state === 'starting' && now - endpoint.startedAt >= START_UP_MS;
      if (isUp) endpoints.set(name, { ...endpoint, state: 'running' });
      if (endpoint.state === 'draining') endpoints.set(name, { ...endpoint, load: 0 });
    }
    const input: ScalingInput = {
      model: 'model',
      zones,
      endpoints: [...endpoints.values()],
      demands: demandAt(now),
      tokensPerSecond: 1_000,
    };
    for (const decision of policy.decide(input, now)) {
      log.push(decision.type);
      if (decision.type === 'start') {
        const endpoint = asId<'endpoint'>(`e${log.length}`);
        const { dataCentre } = decision;
        const fields = {
          endpoint,
          dataCentre,
          state: 'starting',
          startedAt: now,
          load: 3,
        } as const;
        endpoints.set(endpoint, fields);
      } else if (decision.type === 'stop') {
        assert.equal(endpoints.get(decision.endpoint)?.load, 0);
        endpoints.delete(decision.endpoint);
      } else {
        const state = decision.type === 'drain' ? 'draining' : 'running';
        const known = endpoints.get(decision.endpoint) as ScaledEndpoint;
        endpoints.set(decision.endpoint, { ...known, state });
      }
    }
    peak.active = Math.max(peak.active, endpoints.size);
  }
  return { endpoints: [...endpoints.values()], log, peak: peak.active };
}

test('starts as many endpoints as the service is worth, spread over the zones', () => {
  // 2,000 tokens per second need 3 endpoints at 700 each. Each serves requests worth 50 per hour.
  const { endpoints, log } = run(() => [createDemand({ requestsPerSecond: 4 })], 120_000);
  assert.equal(log.includes('drain'), false);
  const zones = new Set(endpoints.map(({ dataCentre }) => dataCentre));
  assert.equal(zones.size, 3);
  assert.ok(endpoints.length >= 4, 'the loss of a zone leaves enough for the top tier');
});

test('starts no endpoint for a lower tier whose service is worth less than the price', () => {
  const demands = [
    createDemand({ class: 'guidance', tier: 1, requestsPerSecond: 0.1, value: 1 }),
    createDemand({ class: 'letter', tier: 5, requestsPerSecond: 5, value: 0.000001 }),
  ];
  const { endpoints } = run(() => demands, 120_000);
  assert.equal(endpoints.length, 2);
});

test('drains an endpoint after the minimum running time before stopping it, and keeps the minimum', () => {
  const busyUntil = 300_000;
  const demandAt = (now: number) => [createDemand({ requestsPerSecond: now < busyUntil ? 4 : 0 })];
  const { endpoints, log, peak } = run(demandAt, 3_600_000, createZones(10, 1));
  assert.ok(peak >= 4);
  assert.equal(endpoints.length, 3);
  assert.ok(log.indexOf('drain') < log.indexOf('stop'));
  const drains = log.filter((type) => type === 'drain').length;
  assert.equal(drains, log.filter((type) => type === 'stop').length);
});

test('does not start or drain endpoints on every small change of demand', () => {
  const wave = (now: number) => [
    createDemand({ requestsPerSecond: 4 + 0.4 * Math.sin(now / 20_000) }),
  ];
  const { log } = run(wave, 3_600_000);
  const starts = log.filter((type) => type === 'start').length;
  assert.ok(starts <= 7, `${log}`);
  assert.ok(log.filter((type) => type === 'drain').length <= 2, `${log}`);
});
