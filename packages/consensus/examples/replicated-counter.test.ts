import assert from 'node:assert/strict';
import test from 'node:test';
import { runExample } from './replicated-counter';

test('the example counts on after its leader has closed', async () => {
  const lines: string[] = [];
  await runExample((line) => lines.push(line));
  assert.match(lines[0] ?? '', /^north leads, the counter is 2$/);
  assert.match(lines[1] ?? '', /^(south|west) leads, the counter is 5$/);
});
