import assert from 'node:assert/strict';
import test from 'node:test';
import { asId } from '@berylwood/base';
import type { EndpointId, WorkspaceId } from '@berylwood/schema';
import { PrefixIndex } from './PrefixIndex';

const alpha: WorkspaceId = asId('alpha');
const beta: WorkspaceId = asId('beta');
const [e1, e2]: EndpointId[] = [asId('e1'), asId('e2')];
const blocks = Array.from({ length: 100 }, (_, i) => `block-${i}`);

test('finds the longest prefix and the endpoint that received it most recently', () => {
  const index = new PrefixIndex();
  index.sent(alpha, blocks.slice(0, 4), e1 as EndpointId);
  assert.deepEqual(index.find(alpha, blocks), { endpoints: [e1], length: 4 });
  index.sent(alpha, blocks, e2 as EndpointId);
  assert.deepEqual(index.find(alpha, blocks.slice(0, 2)), { endpoints: [e2, e1], length: 2 });
  assert.deepEqual(index.find(alpha, blocks).endpoints, [e2]);
  assert.ok(index.find(alpha, blocks).length >= 96);
});

test('never matches blocks across workspaces, not even after cache events', () => {
  const index = new PrefixIndex();
  index.sent(alpha, blocks, e1 as EndpointId);
  index.changed(e2 as EndpointId, [{ kind: 'stored', blocks }]);
  assert.deepEqual(index.find(beta, blocks), { endpoints: [], length: 0 });
  assert.deepEqual(index.find(alpha, blocks).endpoints, [e2, e1]);
});

test('an eviction event removes the endpoint; unknown blocks and gaps are tolerated', () => {
  const index = new PrefixIndex();
  index.sent(alpha, blocks.slice(0, 8), e1 as EndpointId);
  index.changed(e1 as EndpointId, [
    { kind: 'evicted', blocks: ['block-7', 'unknown'] },
    { kind: 'stored', blocks: ['unknown'] },
  ]);
  assert.deepEqual(index.find(alpha, blocks.slice(0, 8)), { endpoints: [e1], length: 4 });
});

test('does not exceed its capacity', () => {
  const index = new PrefixIndex(16);
  for (let i = 0; i < 1_000; i += 1) index.sent(alpha, [`prompt-${i}`], e1 as EndpointId);
  const known = Array.from({ length: 1_000 }, (_, i) => index.find(alpha, [`prompt-${i}`]).length);
  const kept = known.filter((length) => length > 0).length;
  assert.ok(kept > 0 && kept <= 64, `${kept}`);
});
