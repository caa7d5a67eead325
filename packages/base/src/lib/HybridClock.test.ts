import assert from 'node:assert/strict';
import test from 'node:test';
import { HybridClock, compareStamps } from './HybridClock';
import { VirtualTimer } from './VirtualTimer';

test('a stamp after a received one is greater, even when the local clock lags', () => {
  const ahead = new HybridClock(new VirtualTimer(5000));
  const behind = new HybridClock(new VirtualTimer(1000));
  const sent = ahead.tick();
  assert.ok(compareStamps(behind.observe(sent), sent) > 0);
  assert.ok(compareStamps(behind.tick(), sent) > 0);
});
