import assert from 'node:assert/strict';
import test from 'node:test';
import { createMachine } from 'xstate';
import { Lifecycle, LifecycleTable } from './Lifecycle';

function createDoor() {
  return createMachine({
    initial: 'open',
    states: {
      open: { on: { shut: 'shut' }, meta: 'passable' },
      shut: { on: { open: 'open', lock: 'locked' }, meta: 'closed' },
      locked: { type: 'final', meta: 'closed' },
    },
  });
}

test('follows the machine and rejects events that the current state does not accept', () => {
  const lifecycle = new Lifecycle<string, string>(new LifecycleTable(createDoor()));
  assert.equal(lifecycle.send('lock'), false);
  assert.equal(lifecycle.state, 'open');
  assert.equal(lifecycle.send('shut'), true);
  assert.equal(lifecycle.note, 'closed');
  lifecycle.send('lock');
  assert.equal(lifecycle.isFinal, true);
  assert.equal(lifecycle.send('open'), false);
});

test('rejects a machine with nested states', () => {
  const nested = createMachine({
    initial: 'a',
    states: { a: { initial: 'b', states: { b: {} } } },
  });
  assert.throws(() => new LifecycleTable(nested), /nested/);
});
