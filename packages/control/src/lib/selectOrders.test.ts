import assert from 'node:assert/strict';
import { test } from 'node:test';
import { asId } from '@berylwood/base';
import type { Order } from '@berylwood/ledger';
import { selectOrders } from './selectOrders';

const life = { intendedAt: 0, at: 0, fence: 0, sends: 0 } as const;

function createOrder(name: string, endpoint?: string): Order {
  const action = endpoint
    ? ({ type: 'role', endpoint: asId<'endpoint'>(endpoint), role: 'decode' } as const)
    : ({ type: 'start', dataCentre: asId<'dataCentre'>('naas'), model: 'm' } as const);
  return { ...life, order: asId<'order'>(name), action, step: 'intended' };
}

function select(open: readonly Order[], ...inherited: string[]): string[] {
  const ids = new Set(inherited.map((name) => asId<'order'>(name)));
  return selectOrders(open, ids).map(({ order }) => order);
}

test('new orders wait while an inherited order to the same receiver has no answer', () => {
  const open = [createOrder('new'), createOrder('sent'), createOrder('engine', 'engine-1')];
  assert.deepEqual(select(open, 'sent'), ['sent', 'engine']);
});

test('an inherited order to an endpoint delays only that endpoint', () => {
  const open = [
    createOrder('sent', 'engine-1'),
    createOrder('next', 'engine-1'),
    createOrder('other', 'engine-2'),
  ];
  assert.deepEqual(select(open, 'sent'), ['sent', 'other']);
});

test('all orders are selected once no inherited order is open', () => {
  assert.deepEqual(select([createOrder('a'), createOrder('b')], 'gone'), ['a', 'b']);
});
