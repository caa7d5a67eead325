import assert from 'node:assert/strict';
import test from 'node:test';
import { SystemTimer, asId, createSilentJournal } from '@berylwood/base';
import type { EndpointOrder } from '@berylwood/feed';
import type { NodeCall } from '@berylwood/schema';
import { ok } from 'neverthrow';
import type { Endpoint } from './Endpoint';
import { OrderGate } from './OrderGate';

function createOrder(id: string, fence: number): EndpointOrder {
  const endpoint = asId<'endpoint'>('engine-1');
  const action = { type: 'role', endpoint, role: 'prefill' } as const;
  return { type: 'order', order: asId(id), fence, action };
}

function createGate(isFresh = true) {
  const forwarded: string[] = [];
  const calls: NodeCall[] = [];
  const group = {
    isFresh,
    state: { fence: 3 } as never,
    call: async (call: NodeCall) => {
      calls.push(call);
      return ok(true as never);
    },
  };
  const endpoint = {
    order: async (id: string) => {
      forwarded.push(id);
      return { accepted: true, message: '' };
    },
  } as unknown as Endpoint;
  const gate = new OrderGate(group, endpoint, createSilentJournal(new SystemTimer()));
  return { gate, forwarded, calls };
}

test('rejects an order with an outdated fence, also after one with a newer fence', async () => {
  const { gate, forwarded, calls } = createGate();
  await gate.handleOrder(createOrder('old', 2));
  await gate.handleOrder(createOrder('new', 5));
  await gate.handleOrder(createOrder('late', 4));
  assert.deepEqual(forwarded, ['new']);
  const accepted = calls.map((call) => call.type === 'orderAnswer' && call.accepted);
  assert.deepEqual(accepted, [false, true, false]);
});

test('forwards an order only once if it is received several times', async () => {
  const { gate, forwarded } = createGate();
  await Promise.all([gate.handleOrder(createOrder('a', 3)), gate.handleOrder(createOrder('a', 3))]);
  await gate.handleOrder(createOrder('a', 3));
  assert.deepEqual(forwarded, ['a']);
});

test('forwards nothing without a freshness lease', async () => {
  const { gate, forwarded, calls } = createGate(false);
  await gate.handleOrder(createOrder('a', 9));
  assert.deepEqual([forwarded, calls], [[], []]);
});
