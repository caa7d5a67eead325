import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkKeys } from './checkKeys';
import { createHistory } from './fixtures';

test('requests without a secret pass', () => {
  const history = createHistory('run', { body: 'hello', headers: { accept: '*/*' } });
  assert.deepEqual(checkKeys(new Map([['engine-1', history]]), ['bw-secret']), []);
});

test('a secret is found in headers, path and body', () => {
  const history = createHistory(
    'call',
    { headers: { authorization: 'Bearer bw-secret' } },
    { path: '/jobs?key=bw-secret' },
    { body: 'my key is bw-secret' },
  );
  assert.equal(checkKeys(new Map([['service-1', history]]), ['bw-secret']).length, 3);
});
