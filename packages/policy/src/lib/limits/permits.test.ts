import assert from 'node:assert/strict';
import test from 'node:test';
import { Random } from '@berylwood/base';
import { EndpointPermits } from './EndpointPermits';
import { PermitAllocator } from './PermitAllocator';

const STEP_MS = 50;
const DURATION_MS = 60_000;
const WINDOW_MS = 4000;

/** Rounds of allocation, and the delay of a message, in milliseconds. */
const ROUND_MS = 100;
const MESSAGE_MS = 50;

interface Scenario {
  readonly instances: number;
  readonly requestsPerS: number;
  /** Requests per second that an instance would send. */
  readonly demandPerS: (instance: number) => number;
  /** Whether an instance is connected to the leader. */
  readonly isConnected: (instance: number, now: number) => boolean;
}

/** Returns the times at which requests reach the endpoint. */
function simulate({ instances, requestsPerS, demandPerS, isConnected }: Scenario): number[] {
  const random = new Random(7);
  const allocator = new PermitAllocator(0);
  allocator.setRate(requestsPerS, 0);
  const permits = Array.from({ length: instances }, () => new EndpointPermits(random));
  const recent = permits.map(() => 0);
  const grants: { readonly at: number; readonly instance: number; readonly count: number }[] = [];
  const sent: number[] = [];
  for (let now = 0; now < DURATION_MS; now += STEP_MS) {
    if (now % ROUND_MS === 0) {
      const connected = permits.map((_, i) => i).filter((i) => isConnected(i, now));
      for (const i of connected) allocator.return(permits[i]?.takeReturned(now) ?? 0, now);
      const demands = connected.map((source) => ({
        source,
        wanted: [Math.max(0, (recent[source] as number) - (permits[source]?.held(now) ?? 0))],
      }));
      for (const [instance, count] of allocator.allocate(demands, now, random)) {
        grants.push({ at: now + MESSAGE_MS, instance, count });
      }
      recent.forEach((count, i) => {
        recent[i] = count / 2;
      });
    }
    for (const { at, instance, count } of grants) {
      if (at === now) permits[instance]?.grant(count, now);
    }
    permits.forEach((own, i) => {
      if (random.next() >= (demandPerS(i) * STEP_MS) / 1000) return;
      recent[i] = (recent[i] as number) + 1;
      const conditions = { requestsPerS, instances, hasLeader: isConnected(i, now) };
      if (!own.isAvailable(conditions, now)) return;
      own.take();
      sent.push(now);
    });
  }
  return sent;
}

function worstWindow(times: readonly number[]): number {
  const countFrom = (start: number): number =>
    times.filter((at) => at >= start && at < start + WINDOW_MS).length;
  return Math.max(0, ...times.map(countFrom));
}

const allowedInWindow = (perS: number): number => Math.floor((1.5 * perS * WINDOW_MS) / 1000 + 5);

for (const instances of [3, 9, 15, 70]) {
  for (const requestsPerS of [0, 0.4, 2, 30]) {
    const title = `${instances} instances at a limit of ${requestsPerS} a second`;

    test(`${title} keep it and use it under pressure`, () => {
      const demandPerS = (): number => 10;
      const sent = simulate({ instances, requestsPerS, demandPerS, isConnected: () => true });
      const worst = worstWindow(sent);
      assert.ok(worst <= allowedInWindow(requestsPerS), `${worst}`);
      assert.ok(sent.length >= (0.7 * requestsPerS * DURATION_MS) / 1000, `${sent.length}`);
    });

    test(`${title} use it through two of them`, () => {
      const demandPerS = (instance: number): number => (instance < 2 ? 20 : 0);
      const sent = simulate({ instances, requestsPerS, demandPerS, isConnected: () => true });
      assert.ok(worstWindow(sent) <= allowedInWindow(requestsPerS));
      const offered = Math.min(requestsPerS, 2 * 20);
      assert.ok(sent.length >= (0.7 * offered * DURATION_MS) / 1000, `${sent.length}`);
    });

    test(`${title} keep it while some or all lose the leader`, () => {
      const isConnected = (instance: number, now: number): boolean => {
        const phase = Math.floor(now / 3000) % 3;
        return phase === 0 || (phase === 1 && instance % 3 > 0);
      };
      const sent = simulate({ instances, requestsPerS, demandPerS: () => 10, isConnected });
      const worst = worstWindow(sent);
      assert.ok(worst <= allowedInWindow(requestsPerS), `${worst}`);
    });
  }
}

test('an urgent instance gets the permits first', () => {
  const allocator = new PermitAllocator(0);
  allocator.setRate(4, 0);
  const demands = [
    { source: 'batch', wanted: [0, 50] },
    { source: 'chat', wanted: [1] },
  ];
  const granted = allocator.allocate(demands, 300, new Random(1));
  assert.deepEqual([...granted], [['chat', 1]]);
});

test('a permit that is not used expires and is returned once', () => {
  const permits = new EndpointPermits(new Random(1));
  permits.grant(2, 0);
  const conditions = { requestsPerS: 1, instances: 2, hasLeader: true };
  assert.ok(permits.isAvailable(conditions, 500));
  permits.take();
  assert.ok(!permits.isAvailable(conditions, 1500));
  assert.equal(permits.takeReturned(1500), 1);
  assert.equal(permits.takeReturned(1500), 0);
});
