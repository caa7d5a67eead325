import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualTimer } from '@berylwood/base';
import { StartGate } from './StartGate';

function createGate() {
  const timer = new VirtualTimer();
  const results: string[] = [];
  const gate = new StartGate(timer);
  const hold = (name: string, deadlineMs?: number) =>
    gate.wait({
      onRelease: () => results.push(name),
      deadlineMs,
      onTimeout: () => results.push(`${name} too late`),
    });
  return { timer, gate, results, hold };
}

test('held requests are released in order, except those whose callers have disconnected', () => {
  const { gate, results, hold } = createGate();
  hold('first');
  hold('gone')[Symbol.dispose]();
  hold('last');
  assert.equal(gate.isHolding, true);
  gate.release();
  assert.deepEqual(results, ['first', 'last']);
  assert.equal(gate.isHolding, false);
});

test('held requests are released one second after the start at the latest', () => {
  const { timer, gate, results, hold } = createGate();
  timer.advance(900);
  hold('late');
  assert.deepEqual(results, []);
  timer.advance(100);
  assert.deepEqual(results, ['late']);
  assert.equal(gate.isHolding, false);
});

test('a held request times out when its deadline passes', () => {
  const { timer, gate, results, hold } = createGate();
  hold('short', 300);
  hold('long', 5000);
  timer.advance(300);
  gate.release();
  assert.deepEqual(results, ['short too late', 'long']);
});
