import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random } from '@berylwood/base';
import { chooseEndpoint, rankByHash, type EndpointView } from './chooseEndpoint';
import { retryAfterMs } from './retryAfter';

function createView(key: string, load = 0): EndpointView {
  return { key, load, slots: 64, isLocal: true };
}

function createViews(loads: readonly number[]): EndpointView[] {
  return loads.map((load, at) => createView(`e-${at}`, load));
}

test('the removal of an endpoint moves only the parts that preferred it', () => {
  const all = createViews([0, 0, 0, 0, 0, 0, 0, 0]);
  const rest = all.slice(1);
  for (let part = 0; part < 200; part += 1) {
    const [before] = rankByHash(all, `part-${part}`, 1);
    const [after] = rankByHash(rest, `part-${part}`, 1);
    if (before?.key !== 'e-0') assert.equal(after?.key, before?.key);
  }
});

test('the least loaded endpoint is chosen', () => {
  assert.equal(chooseEndpoint(createViews([3, 1, 2]), 0.5)?.key, 'e-1');
});

test('no endpoint is chosen from an empty list', () => {
  assert.equal(chooseEndpoint([], 0.5), undefined);
});

test('retries of rejected callers are spread over the time in which capacity becomes free', () => {
  const random = new Random(2);
  const times = Array.from({ length: 300 }, () => retryAfterMs(600, 5000, random));
  assert.ok(Math.min(...times) >= 150 && Math.max(...times) <= 1200);
  assert.ok(Math.max(...times) - Math.min(...times) > 600);
});

test('no caller is asked to wait longer than a third of its remaining time', () => {
  const random = new Random(3);
  for (let turn = 0; turn < 50; turn += 1) assert.ok(retryAfterMs(600, 1500, random) <= 500);
});
