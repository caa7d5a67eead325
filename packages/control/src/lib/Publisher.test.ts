import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualTimer, asId } from '@berylwood/base';
import { FRESHNESS_MS, StateCopy } from '@berylwood/feed';
import type { ControlMessage } from '@berylwood/schema';
import { Publisher, type Hello, type NodeLink } from './Publisher';

/** Longer than any freshness lease. */
const EXPIRED_MS = FRESHNESS_MS + 100;

function createPublisher(proofAgeMs: () => number | undefined = () => 0) {
  const timer = new VirtualTimer();
  const state = new StateCopy();
  const publisher = new Publisher({ timer, state, members: () => [], proofAgeMs });
  publisher.open();
  const change = (index: number) => {
    state.apply(index, [{ type: 'fenced', fence: index }]);
    publisher.publish(index, [{ type: 'fenced', fence: index }]);
  };
  return { timer, publisher, change };
}

function createNode(process: string) {
  const sent: ControlMessage[] = [];
  const link = { send: (message: ControlMessage) => sent.push(message) } as unknown as NodeLink;
  const hello: Hello = {
    type: 'hello',
    group: 'default',
    process,
    incarnation: asId('inc-1'),
    dataCentre: asId('naas'),
    applied: 0,
  };
  const renewals = () => sent.filter((message) => message.type === 'renewal');
  return { link, hello, sent, renewals };
}

test('after a change of leader no change is in force before the leases of the former leader expire', () => {
  const { timer, publisher } = createPublisher();
  assert.equal(publisher.pendingNodes(0).length, 1);
  timer.advance(EXPIRED_MS);
  assert.deepEqual(publisher.pendingNodes(1), []);
});

test('a node without the change is pending until its lease expires, also after it reconnects', () => {
  const { timer, publisher, change } = createPublisher();
  timer.advance(EXPIRED_MS);
  const first = createNode('entry-1');
  publisher.join(first.link, first.hello);
  publisher.renew(first.link, { type: 'renew', sentAt: 1, applied: 0 });
  change(1);
  assert.deepEqual(publisher.pendingNodes(1), ['entry-1']);
  publisher.leave(first.link);
  assert.deepEqual(publisher.pendingNodes(1), ['entry-1']);
  const second = createNode('entry-1');
  publisher.join(second.link, second.hello);
  assert.deepEqual(publisher.pendingNodes(1), ['entry-1']);
  timer.advance(EXPIRED_MS);
  assert.deepEqual(publisher.pendingNodes(1), []);
});

test('a renewal is not answered without a freshness proof', () => {
  const { publisher } = createPublisher(() => undefined);
  const node = createNode('entry-1');
  publisher.join(node.link, node.hello);
  publisher.renew(node.link, { type: 'renew', sentAt: 5, applied: 0 });
  assert.equal(node.renewals().length, 0);
});

test('a renewal is dated back by the age of the proof', () => {
  const { publisher } = createPublisher(() => 700);
  const node = createNode('entry-1');
  publisher.join(node.link, node.hello);
  publisher.renew(node.link, { type: 'renew', sentAt: 5000, applied: 0 });
  const [renewal] = node.renewals();
  assert.ok(renewal?.type === 'renewal' && renewal.sentAt <= 4300);
});

test('the member list is marked complete only after nodes have had time to reconnect', () => {
  const { timer, publisher } = createPublisher();
  const node = createNode('entry-1');
  publisher.join(node.link, node.hello);
  const wholes = () => node.sent.filter((item) => item.type === 'members' && item.whole).length;
  assert.equal(wholes(), 0);
  timer.advance(5000);
  assert.equal(wholes(), 1);
});
