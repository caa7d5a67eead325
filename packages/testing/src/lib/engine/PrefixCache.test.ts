import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PrefixCache } from './PrefixCache';

test('a prefix cache finds the leading blocks that it holds', () => {
  const cache = new PrefixCache(4);
  cache.store(['a', 'b', 'c']);
  assert.equal(cache.lookup(['a', 'b', 'x', 'c']), 2);
  assert.equal(cache.lookup(['x', 'a']), 0);
});

test('a full prefix cache evicts the least recently used blocks and says so', () => {
  const cache = new PrefixCache(3);
  const changes: [string, string[]][] = [];
  cache.onChange = (kind, blocks) => changes.push([kind, blocks]);
  cache.store(['a', 'b']);
  cache.store(['c']);
  cache.lookup(['a']);
  cache.store(['d']);
  assert.equal(cache.size, 3);
  assert.deepEqual(changes.at(-1), ['evicted', ['b']]);
  assert.equal(cache.lookup(['a', 'b']), 1);
});

test('a prompt larger than the cache is held in part', () => {
  const cache = new PrefixCache(2);
  cache.store(['a', 'b', 'c']);
  assert.equal(cache.lookup(['a', 'b', 'c']), 2);
});
