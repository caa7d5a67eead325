import assert from 'node:assert/strict';
import { test } from 'node:test';
import { listedEndpoint, VirtualFleet } from '../fixtures/virtualFleet';

const COLD_MS = 3000;
const LAG_MS = 2000;

/** Requests that each instance offers in a step of 20 ms: 70 instances offer 3,500 a second, 3 offer 150. */
const DEMAND = 1;

const boundOf = (perS: number): number => perS * 1.5 + 5;

type Leaders = (instance: number, now: number) => number | undefined;

/** Who leads, by name of the case; half of the instances are in each part of a partition. */
const CASES: Record<string, (instances: number) => Leaders> = {
  'with a leader': () => () => 0,
  'without a leader': () => () => undefined,
  'while the leader changes every 700 ms': () => (_, now) => Math.floor(now / 700) % 3,
  'while the leader changes with a gap': () => (_, now) =>
    now % 1500 < 500 ? undefined : Math.floor(now / 1500) % 3,
  'in two parts of which one has a leader': (instances) => (instance) =>
    instance < instances / 2 ? 0 : undefined,
  'in two parts that each have a leader': (instances) => (instance) =>
    instance < instances / 2 ? 0 : instances - 1,
  'while a third loses the leader for seconds': () => (instance, now) =>
    instance % 3 === 2 && Math.floor(now / 1500) % 2 === 1 ? undefined : 0,
};

function createFleet(instances: number, requestsPerS: number, leaderOf: Leaders): VirtualFleet {
  const coldStart = { durationMs: COLD_MS, requestsPerS };
  const fleet = new VirtualFleet({ instances, coldStart, leaderOf });
  for (const { directory } of fleet.instances) directory.replace([]);
  fleet.timer.advance(1000);
  return fleet;
}

function addEndpoint(fleet: VirtualFleet): void {
  for (const { directory } of fleet.instances) directory.replace([listedEndpoint('e-1')]);
}

for (const [name, leadersOf] of Object.entries(CASES)) {
  for (const instances of [3, 9, 26, 70]) {
    for (const perS of [2, 17, 100]) {
      test(`${instances} instances keep a cold endpoint below ${perS} x 1.5 + 5 in any second ${name}`, () => {
        const fleet = createFleet(instances, perS, leadersOf(instances));
        addEndpoint(fleet);
        fleet.offer(COLD_MS + LAG_MS - 100, () => DEMAND);
        const worst = fleet.worstSecond('e-1');
        assert.ok(worst <= boundOf(perS), `${worst}`);
      });
    }
  }
}

for (const instances of [3, 26, 70]) {
  test(`${instances} instances use a cold endpoint while a leader divides its rate`, () => {
    const fleet = createFleet(instances, 17, () => 0);
    addEndpoint(fleet);
    fleet.offer(COLD_MS + LAG_MS - 100, () => DEMAND);
    const sent = fleet.sent.get('e-1')?.length ?? 0;
    assert.ok(sent >= 17 * 0.4 * 4.9, `${sent}`);
  });

  for (const name of ['with a leader', 'in two parts that each have a leader']) {
    test(`${instances} instances keep the bound in bursts after others used its permits little ${name}`, () => {
      const fleet = createFleet(instances, 17, (CASES[name] as (typeof CASES)[string])(instances));
      addEndpoint(fleet);
      for (let round = 0; round < 3; round += 1) {
        fleet.offerElsewhere(1000, 2);
        fleet.offer(600, () => 5);
      }
      assert.ok(fleet.worstSecond('e-1') <= boundOf(17), `${fleet.worstSecond('e-1')}`);
    });
  }
}

test('an endpoint that one instance has found unreachable is cold for all of them', () => {
  const fleet = createFleet(9, 17, () => 0);
  addEndpoint(fleet);
  fleet.timer.advance(COLD_MS + LAG_MS + 300);
  const endpoints = fleet.instances.flatMap(({ directory }) => directory.endpoints);
  assert.ok(endpoints.every(({ statements }) => !statements.isCold));
  endpoints[4]?.unreachable();
  fleet.timer.advance(400);
  assert.ok(endpoints.every(({ statements }) => statements.isCold));
  fleet.timer.advance(2000);
  endpoints[4]?.view('a');
  assert.ok(endpoints[4]?.isUsable);
  endpoints[4]?.attemptStarted();
  endpoints[4]?.answered();
  fleet.offer(COLD_MS + LAG_MS - 100, () => DEMAND);
  assert.ok(fleet.worstSecond('e-1') <= boundOf(17));
  fleet.timer.advance(1000);
  assert.ok(endpoints.every(({ statements }) => !statements.isCold));
});

test('what instances repeat to each other about a cold endpoint ends, also over changes of the leader', () => {
  const fleet = createFleet(9, 17, (_, now) => Math.floor(now / 900) % 3);
  addEndpoint(fleet);
  fleet.timer.advance(COLD_MS + LAG_MS + 1500);
  const endpoints = fleet.instances.flatMap(({ directory }) => directory.endpoints);
  assert.ok(endpoints.every(({ statements }) => !statements.isCold));
});
