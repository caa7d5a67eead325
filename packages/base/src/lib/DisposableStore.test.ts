import assert from 'node:assert/strict';
import test from 'node:test';
import { DisposableStore } from './DisposableStore';

test('disposes all items in reverse order and throws the first error', () => {
  const seen: number[] = [];
  const store = new DisposableStore();
  store.defer(() => seen.push(1));
  store.defer(() => {
    throw new Error('broken');
  });
  store.defer(() => seen.push(3));
  assert.throws(() => store[Symbol.dispose](), /broken/);
  assert.deepEqual(seen, [3, 1]);
});

test('disposes an item immediately when it is added after disposal', () => {
  const store = new DisposableStore();
  store[Symbol.dispose]();
  let released = false;
  store.defer(() => {
    released = true;
  });
  assert.equal(released, true);
});
