import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualTimer } from '@berylwood/base';
import { FleetClock } from './FleetClock';

test('a leader whose clock jumps follows the median of the other instances', () => {
  const timer = new VirtualTimer();
  const clock = new FleetClock(timer);
  const wallMs = timer.wall();
  for (const instance of ['a', 'b', 'c']) clock.observe(instance, wallMs - 4000);
  clock.applyMedian();
  assert.equal(Math.round(clock.now() - wallMs), -4000);
});

test('a single outlier does not change the time', () => {
  const timer = new VirtualTimer();
  const clock = new FleetClock(timer);
  const wallMs = timer.wall();
  clock.observe('a', wallMs);
  clock.observe('b', wallMs + 60_000);
  clock.applyMedian();
  assert.ok(Math.abs(clock.now() - wallMs) < 1);
});
