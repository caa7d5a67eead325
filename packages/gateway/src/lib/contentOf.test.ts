import assert from 'node:assert/strict';
import { test } from 'node:test';
import { asId } from '@berylwood/base';
import { contentOf } from './contentOf';
import type { ResolvedRequest } from './resolveRequest';

function resolve(parts: readonly string[], workspace: string, pool = 'pool'): ResolvedRequest {
  return {
    metadata: { prompt: parts.map((id) => ({ id, tokens: 1 })) },
    workspace: { name: asId<'workspace'>(workspace) },
    target: asId<'pool'>(pool),
  } as unknown as ResolvedRequest;
}

const whole = { method: 'POST', target: '/chat', body: Buffer.from('text') };

test('the last part of a prompt is no content that requests share', () => {
  assert.deepEqual(contentOf(resolve(['a', 'b', 'c'], 'w'), whole).parts, [
    'pool/part/a',
    'pool/part/b',
  ]);
  assert.deepEqual(contentOf(resolve([], 'w'), whole).parts, []);
});

test('equal requests of two workspaces, paths, methods or pools are different contents', () => {
  const keys = [
    contentOf(resolve([], 'w'), whole),
    contentOf(resolve([], 'v'), whole),
    contentOf(resolve([], 'w', 'other'), whole),
    contentOf(resolve([], 'w'), { ...whole, target: '/chat2' }),
    contentOf(resolve([], 'w'), { ...whole, method: 'PUT' }),
    contentOf(resolve([], 'w'), { ...whole, body: Buffer.from('texT') }),
  ].map(({ whole: key }) => key);
  assert.equal(new Set(keys).size, keys.length);
  assert.equal(contentOf(resolve([], 'w'), whole).whole, keys[0]);
});

test('a caller cannot make keys long or many', () => {
  const long = 'x'.repeat(10_000);
  const many = Array.from({ length: 1000 }, (_, number) => `${number}${long}`);
  const { parts, whole: key } = contentOf(resolve(many, 'w'), whole);
  assert.equal(new Set(parts).size, 64);
  for (const item of [...parts, key]) assert.ok(item.length < 128);
});
