import assert from 'node:assert/strict';
import test from 'node:test';
import { OutlierDetector } from './OutlierDetector';

function observe(detector: OutlierDetector<string>, costs: Record<string, number>, now: number) {
  for (let i = 0; i < 10; i += 1) {
    for (const [key, cost] of Object.entries(costs)) detector.observe(key, cost, now);
  }
  detector.evaluate(now);
}

test('ejects a member far above the median, probes it and returns it to service', () => {
  const detector = new OutlierDetector<string>({ probeIntervalMs: 1_000 });
  observe(detector, { a: 25, b: 26, c: 24, d: 250 }, 0);
  assert.equal(detector.isEjected('d'), true);
  assert.equal(detector.isProbeDue('d', 999), false);
  assert.equal(detector.isProbeDue('d', 1_000), true);
  detector.probed('d', 1_000);
  assert.equal(detector.isProbeDue('d', 1_500), false);
  observe(detector, { a: 25, b: 26, c: 24, d: 25 }, 2_000);
  assert.equal(detector.isEjected('d'), false);
});

test('ejects no member when all become slow together, and never more than the limit', () => {
  const detector = new OutlierDetector<string>({ maxEjected: 0.25 });
  observe(detector, { a: 25, b: 25, c: 25, d: 25 }, 0);
  observe(detector, { a: 250, b: 250, c: 250, d: 250 }, 1);
  assert.deepEqual(
    [...'abcd'].filter((key) => detector.isEjected(key)),
    [],
  );
  observe(detector, { a: 25, b: 25, c: 900, d: 1_000 }, 2);
  assert.deepEqual(
    [...'abcd'].filter((key) => detector.isEjected(key)),
    ['d'],
  );
});
