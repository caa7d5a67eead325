import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random } from '@berylwood/base';
import { choosePlace, rankHomes, type Place } from './choosePlace';
import { retryAfterMs } from './retryAfter';

function place(key: string, load = 0): Place {
  return { key, load, slots: 64, isNear: true };
}

function places(loads: readonly number[]): Place[] {
  return loads.map((load, at) => place(`e-${at}`, load));
}

test('a shared part goes to the same endpoint from all instances', () => {
  const first = choosePlace(places([0, 0, 0, 0, 0, 0, 0, 0]), 'part', 0.1);
  const second = choosePlace(places([1, 0, 1, 0, 1, 1, 0, 2]).reverse(), 'part', 0.9);
  assert.equal(first?.key, second?.key);
});

test('an endpoint that leaves moves only the parts that it was home to', () => {
  const all = places([0, 0, 0, 0, 0, 0, 0, 0]);
  const rest = all.slice(1);
  for (let part = 0; part < 200; part += 1) {
    const [before] = rankHomes(all, `part-${part}`, 1);
    const [after] = rankHomes(rest, `part-${part}`, 1);
    if (before?.key !== 'e-0') assert.equal(after?.key, before?.key);
  }
});

test('a hot part spreads once its home carries clearly more than the mean', () => {
  const loads = new Map(places([0, 0, 0, 0, 0, 0, 0, 0]).map(({ key }) => [key, 0]));
  const random = new Random(1);
  for (let sent = 0; sent < 400; sent += 1) {
    const now = [...loads].map(([key, load]) => place(key, load));
    const chosen = choosePlace(now, 'hot', random.next());
    assert.ok(chosen);
    loads.set(chosen.key, (loads.get(chosen.key) ?? 0) + 1);
  }
  assert.ok(Math.max(...loads.values()) < 100, `loads ${[...loads.values()].join(' ')}`);
});

test('without a shared part the least loaded endpoint is chosen', () => {
  assert.equal(choosePlace(places([3, 1, 2]), undefined, 0.5)?.key, 'e-1');
});

test('no place is chosen when there is none', () => {
  assert.equal(choosePlace([], 'part', 0.5), undefined);
});

test('refused callers return spread over the time in which room comes', () => {
  const random = new Random(2);
  const times = Array.from({ length: 300 }, () => retryAfterMs(600, 5000, random));
  assert.ok(Math.min(...times) >= 150 && Math.max(...times) <= 1200);
  assert.ok(Math.max(...times) - Math.min(...times) > 600);
});

test('nobody is asked to wait longer than a third of its time', () => {
  const random = new Random(3);
  for (let turn = 0; turn < 50; turn += 1) assert.ok(retryAfterMs(600, 1500, random) <= 500);
});
