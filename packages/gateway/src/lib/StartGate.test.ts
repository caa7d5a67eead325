import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualTimer } from '@berylwood/base';
import { StartGate } from './StartGate';

function createGate() {
  const timer = new VirtualTimer();
  const released: string[] = [];
  const gate = new StartGate(timer);
  const hold = (name: string, deadlineMs?: number) =>
    gate.wait({
      onRelease: () => released.push(name),
      deadlineMs,
      onTimeout: () => released.push(`${name} too late`),
    });
  return { timer, gate, released, hold };
}

test('requests wait for the first news, but not those whose callers have gone', () => {
  const { gate, released, hold } = createGate();
  hold('first');
  hold('gone')[Symbol.dispose]();
  hold('last');
  assert.equal(gate.isHolding, true);
  gate.release();
  assert.deepEqual(released, ['first', 'last']);
  assert.equal(gate.isHolding, false);
});

test('requests are let go a second after the start in any case', () => {
  const { timer, gate, released, hold } = createGate();
  timer.advance(900);
  hold('late');
  assert.deepEqual(released, []);
  timer.advance(100);
  assert.deepEqual(released, ['late']);
  assert.equal(gate.isHolding, false);
});

test('a request whose time ends while it waits is told at once', () => {
  const { timer, gate, released, hold } = createGate();
  hold('short', 300);
  hold('long', 5000);
  timer.advance(300);
  gate.release();
  assert.deepEqual(released, ['short too late', 'long']);
});
