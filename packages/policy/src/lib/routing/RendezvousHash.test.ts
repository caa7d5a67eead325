import assert from 'node:assert/strict';
import test from 'node:test';
import { RendezvousHash } from './RendezvousHash';

const members = Array.from({ length: 10 }, (_, i) => `e${i}`);
const keys = Array.from({ length: 2_000 }, (_, i) => `workspace block-${i}`);
const create = (names: readonly string[]) => new RendezvousHash(names, (name) => name);

test('distributes keys evenly and independently of the order of the members', () => {
  const hash = create(members);
  const reversed = create([...members].reverse());
  const counts = new Map<string, number>();
  for (const key of keys) {
    const owner = hash.find(key) as string;
    assert.equal(reversed.find(key), owner);
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
  }
  assert.ok(
    [...counts.values()].every((count) => count > 140 && count < 260),
    `${[...counts]}`,
  );
});

test('moves only the keys of a removed member', () => {
  const before = create(members);
  const after = create(members.slice(1));
  const moved = keys.filter((key) => before.find(key) !== after.find(key));
  assert.ok(moved.every((key) => before.find(key) === 'e0'));
  assert.equal(create([]).find('key'), undefined);
});
