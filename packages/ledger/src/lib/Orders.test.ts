import assert from 'node:assert/strict';
import { test } from 'node:test';
import { asId } from '@berylwood/base';
import type { OrderId } from '@berylwood/schema';
import { Orders } from './Orders';

const id: OrderId = asId('ord-1');
const action = { type: 'stop', endpoint: asId<'endpoint'>('engine-1') } as const;

function createOrders(): Orders {
  const orders = new Orders();
  orders.intend(id, action, 0);
  return orders;
}

test('an order is recorded before it is sent, and can be resent until it is answered', () => {
  const orders = createOrders();
  assert.ok(orders.lose(id, 'early', 1).isErr());
  assert.ok(orders.send(id, 1, 1).isOk());
  assert.ok(orders.lose(id, 'no answer', 2).isOk());
  assert.equal(orders.find(id)?.step, 'unknown');
  assert.ok(orders.send(id, 2, 3).isOk());
  assert.ok(orders.answer(id, true, '', 4).isOk());
  assert.ok(orders.send(id, 2, 5).isErr());
  const { step, sends, fence } = orders.find(id) ?? {};
  assert.deepEqual({ step, sends, fence }, { step: 'answered', sends: 2, fence: 2 });
});

test('a late reply is recorded, and a repeated one does not replace it', () => {
  const orders = createOrders();
  orders.send(id, 1, 1);
  orders.lose(id, 'no answer', 2);
  assert.ok(orders.answer(id, true, 'first', 3).isOk());
  assert.ok(orders.answer(id, false, 'second', 4).isOk());
  assert.equal(orders.find(id)?.message, 'first');
  assert.equal(orders.open.length, 0);
});
