import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { SystemTimer, asId, createSilentJournal } from '@berylwood/base';
import { StateCopy, Subscription } from '@berylwood/feed';
import { LinkServer } from '@berylwood/link';
import {
  createIncarnationId,
  type ControlMessage,
  type NodeCall,
  type NodeMessage,
} from '@berylwood/schema';
import { until } from '@berylwood/testing';
import { NODE_PATH, nodeSchema } from './NodeServer';
import { Observer } from './Observer';
import { Publisher } from './Publisher';

const timer = new SystemTimer();
const journal = createSilentJournal(timer);

/** Creates a publisher in place of the control group's leader, with an observer and a node behind it. */
async function createChain(context: TestContext) {
  let isVouching = true;
  const state = new StateCopy();
  const proofAgeMs = () => (isVouching ? 0 : undefined);
  const leader = new Publisher({ timer, state, members: () => [], proofAgeMs });
  leader.open();
  const server = new LinkServer();
  server.accept<ControlMessage, NodeMessage | NodeCall>(
    NODE_PATH,
    { timer, journal, schema: nodeSchema, keepAliveMs: 400 },
    (link) => {
      link.onMessage = (message) => {
        if (message.type === 'hello') leader.join(link, message);
        if (message.type === 'renew') leader.renew(link, message);
      };
      link.onClose = () => leader.leave(link);
    },
  );
  const control = [await server.listen('127.0.0.1:0')];
  const process = {
    name: 'observer-1',
    instance: 'local',
    dataCentre: 'naas',
    group: 'default',
    shutdownLimitMs: 1000,
  };
  const incarnation = createIncarnationId();
  const settings = { listen: '127.0.0.1:0', control };
  const observer = new Observer({ settings, process, incarnation, timer, journal });
  await observer.start();
  const node = new Subscription({
    timer,
    journal,
    addresses: [observer.address],
    group: 'default',
    process: 'entry-1',
    incarnation,
    dataCentre: asId('naas'),
  });
  node.open();
  context.after(async () => {
    node[Symbol.dispose]();
    leader[Symbol.dispose]();
    await observer.stop();
    await server.close();
  });
  const change = (index: number) => {
    const changes = [{ type: 'fenced', fence: index } as const];
    state.apply(index, changes);
    leader.publish(index, changes);
  };
  const stopVouching = () => {
    isVouching = false;
  };
  return { leader, node, change, stopVouching };
}

test('an observer forwards changes and renewals, and its proof expires with that of the leader', async (context) => {
  const { leader, node, change, stopVouching } = await createChain(context);
  await until('the node is fresh', () => node.isFresh);
  change(1);
  await until('the change has arrived', () => node.state.fence === 1);
  await until('the change is in force', () => leader.pendingNodes(1).length === 0);
  stopVouching();
  const stoppedAt = timer.now();
  await until('the node is no longer fresh', () => !node.isFresh);
  assert.ok(timer.now() - stoppedAt <= 2100, 'the proof expired with that of the leader');
});
