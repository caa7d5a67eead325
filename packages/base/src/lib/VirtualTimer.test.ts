import assert from 'node:assert/strict';
import test from 'node:test';
import { VirtualTimer } from './VirtualTimer';

test('runs callbacks in order of due time, then of registration', () => {
  const timer = new VirtualTimer();
  const seen: string[] = [];
  timer.after(20, () => seen.push(`late ${timer.now()}`));
  timer.after(10, () => seen.push(`first ${timer.now()}`));
  timer.after(10, () => seen.push(`second ${timer.now()}`));
  timer.advance(30);
  assert.deepEqual(seen, ['first 10', 'second 10', 'late 20']);
  assert.equal(timer.now(), 30);
});

test('an interval runs until it is disposed', () => {
  const timer = new VirtualTimer();
  let count = 0;
  const interval = timer.every(10, () => {
    count += 1;
  });
  timer.advance(35);
  interval[Symbol.dispose]();
  timer.advance(100);
  assert.equal(count, 3);
});
