import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualTimer } from '@berylwood/base';
import { FleetClock } from './FleetClock';

test('a leader whose clock jumps goes on with the time of the others', () => {
  const timer = new VirtualTimer();
  const clock = new FleetClock(timer);
  const wallMs = timer.wall();
  for (const instance of ['a', 'b', 'c']) clock.observe(instance, wallMs - 4000);
  clock.applyMedian();
  assert.equal(Math.round(clock.now() - wallMs), -4000);
});

test('one reading that is far off changes nothing', () => {
  const timer = new VirtualTimer();
  const clock = new FleetClock(timer);
  const wallMs = timer.wall();
  clock.observe('a', wallMs);
  clock.observe('b', wallMs + 60_000);
  clock.applyMedian();
  assert.ok(Math.abs(clock.now() - wallMs) < 1);
});
