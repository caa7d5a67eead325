import assert from 'node:assert/strict';
import test from 'node:test';
import { RecoveryWindow } from './RecoveryWindow';

const NONE = { inTime: 0, late: 0, failed: 0 };

test('the window grows with first events in time until it covers the slots', () => {
  const window = new RecoveryWindow(0);
  let rounds = 0;
  while (window.end === undefined) {
    rounds += 1;
    window.observe({ ...NONE, inTime: window.size }, rounds * 100);
    window.update(window.size, 64, rounds * 100);
  }
  assert.equal(window.end, 'slots');
  assert.ok(rounds <= 3, `${rounds}`);
});

// Guards against sound endpoints that stay underused because the whole pool answers late.
test('a late answer holds the window for half a second, whatever else is answered', () => {
  const window = new RecoveryWindow(0);
  window.observe({ ...NONE, inTime: 8 }, 100);
  const before = window.size;
  window.observe({ ...NONE, late: 3 }, 200);
  window.observe({ ...NONE, late: 5, inTime: 5 }, 300);
  assert.equal(window.size, before);
  window.observe({ ...NONE, inTime: 5 }, 800);
  assert.ok(window.size > before);
});

test('a failure halves the window once, and failures of the same time do not again', () => {
  const window = new RecoveryWindow(0);
  window.observe({ ...NONE, inTime: 8 }, 100);
  const before = window.size;
  window.observe({ ...NONE, failed: 3 }, 200);
  window.observe({ ...NONE, failed: 5, inTime: 5 }, 300);
  assert.equal(window.size, before / 2);
  window.observe({ ...NONE, failed: 1 }, 800);
  assert.equal(window.size, Math.floor(before / 4));
});

test('answers that do not come hold the window', () => {
  const window = new RecoveryWindow(0);
  const { size } = window;
  for (let now = 0; now < 20_000; now += 100) {
    window.observe(NONE, now);
    window.update(size, 64, now);
  }
  assert.equal(window.size, size);
  assert.equal(window.end, undefined);
});

test('repeated failures end the recovery, and one of a single instance does not', () => {
  const silent = new RecoveryWindow(0);
  silent.observe({ ...NONE, failed: 1 }, 100);
  assert.equal(silent.end, undefined);
  const failing = new RecoveryWindow(0);
  failing.observe({ ...NONE, inTime: 1 }, 100);
  let now = 200;
  for (; failing.end === undefined; now += 500) failing.observe({ ...NONE, failed: 1 }, now);
  assert.ok(now <= 3000, `${now}`);
  assert.equal(failing.size, 1);
});

test('a window of which less than half is used is lifted', () => {
  const window = new RecoveryWindow(0);
  window.observe({ ...NONE, inTime: 8 }, 100);
  window.update(2, 64, 100);
  assert.equal(window.end, undefined);
  window.update(2, 64, 1100);
  assert.equal(window.end, 'demand');
});
