import assert from 'node:assert/strict';
import test from 'node:test';
import { Random } from '@berylwood/base';
import { FleetRecovery } from './FleetRecovery';

const ASKING = { inTime: 0, late: 0, failed: 0, inFlight: 0, wanted: 5 };

const names = (count: number): string[] => Array.from({ length: count }, (_, i) => `i-${i}`);

const sumOf = (recovery: FleetRecovery, count: number): number =>
  names(count).reduce((sum, name) => sum + recovery.allotmentOf(name), 0);

for (const instances of [3, 26, 70]) {
  test(`the allotments of ${instances} instances never exceed the window`, () => {
    const random = new Random(3);
    const recovery = new FleetRecovery(0);
    const inTime = new Map<string, number>();
    for (let now = 0; now < 10_000; now += 100) {
      for (const name of names(instances)) {
        if (random.next() < 0.3) continue;
        const answered = (inTime.get(name) ?? 0) + Math.floor(random.next() * 1.05);
        inTime.set(name, answered);
        const late = now > 5000 ? Math.floor(now / 1000) : 0;
        const inFlight = Math.floor(random.next() * (recovery.allotmentOf(name) + 1));
        const wanted = random.next() * 3;
        recovery.report(name, { inTime: answered, late, failed: 0, inFlight, wanted }, now);
      }
      recovery.divide(1000, now, random);
      assert.ok(sumOf(recovery, instances) <= recovery.window.size);
    }
  });
}

test('an allotment that is not used moves on to an instance that asks for it', () => {
  const random = new Random(1);
  const recovery = new FleetRecovery(0);
  recovery.report('i-0', ASKING, 0);
  recovery.divide(64, 0, random);
  assert.equal(recovery.allotmentOf('i-0'), 4);
  recovery.report('i-0', { ...ASKING, wanted: 0 }, 500);
  recovery.report('i-1', ASKING, 500);
  recovery.divide(64, 500, random);
  assert.equal(recovery.allotmentOf('i-0'), 0);
  assert.equal(recovery.allotmentOf('i-1'), 4);
});

test('an instance that no longer reports loses its allotment', () => {
  const random = new Random(1);
  const recovery = new FleetRecovery(0);
  recovery.report('i-0', ASKING, 0);
  recovery.divide(64, 0, random);
  recovery.report('i-1', ASKING, 2000);
  recovery.divide(64, 2000, random);
  assert.equal(recovery.allotmentOf('i-1'), 4);
});

test('a count that is reported again, or whose report was lost, counts once', () => {
  const recovery = new FleetRecovery(0);
  const { size } = recovery.window;
  for (const inTime of [1, 1, 3, 3]) recovery.report('i-0', { ...ASKING, inTime }, 100);
  assert.equal(recovery.window.size, size + 3 * 2);
  recovery.report('i-0', { ...ASKING, inTime: 1 }, 200);
  assert.equal(recovery.window.size, size + 4 * 2);
});
