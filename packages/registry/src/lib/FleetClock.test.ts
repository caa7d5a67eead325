import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualTimer } from '@berylwood/base';
import { FleetClock } from './FleetClock';

test('a leader whose clock jumps goes on with the time of the others', () => {
  const timer = new VirtualTimer();
  const clock = new FleetClock(timer);
  const real = timer.wall();
  for (const instance of ['a', 'b', 'c']) clock.observe(instance, real - 4000);
  clock.settle();
  assert.equal(Math.round(clock.now() - real), -4000);
});

test('one reading that is far off changes nothing', () => {
  const timer = new VirtualTimer();
  const clock = new FleetClock(timer);
  const real = timer.wall();
  clock.observe('a', real);
  clock.observe('b', real + 60_000);
  clock.settle();
  assert.ok(Math.abs(clock.now() - real) < 1);
});
