import assert from 'node:assert/strict';
import test from 'node:test';
import { pack, unpack } from 'msgpackr';
import { createGroup, write } from '../simulation/createGroup';
import { isMessage } from './isMessage';
import type { Message } from './Message';

/** Fields that earlier versions do not send. */
const OPTIONAL_FIELDS = new Set(['silences']);

test('accepts messages of replicas, also after MessagePack, and no incomplete ones', async () => {
  const limits = { snapshotEntries: 10, trailingEntries: 2, chunkBytes: 16 };
  const group = await createGroup({ replica: limits });
  const { cluster, leader, others } = group;
  const seen = new Map<string, Message>();
  cluster.network.filter = (message) => {
    assert.ok(isMessage(unpack(pack(message))));
    seen.set(message.body.type, message);
    return true;
  };
  const [wiped] = others;
  assert.ok(wiped);
  cluster.crash(wiped);
  wiped.disk.wipe();
  for (let value = 1; value <= 30; value += 1) await write(group, leader, value);
  await cluster.startNow(wiped);
  await cluster.run(1000);
  leader.replica?.transferLeadership().catch(assert.fail);
  await cluster.run(500);
  cluster.crash(cluster.leader ?? leader);
  await cluster.run(1000);
  assert.equal(seen.size, 11, [...seen.keys()].join());
  for (const message of seen.values()) {
    for (const name of Object.keys(message.body)) {
      const withValue = (value: unknown): unknown => ({
        ...message,
        body: { ...message.body, [name]: value },
      });
      assert.equal(isMessage(withValue(undefined)), OPTIONAL_FIELDS.has(name), name);
      assert.ok(!isMessage(withValue(null)), name);
    }
    assert.ok(!isMessage({ ...message, term: -1 }));
  }
  for (const value of [undefined, null, 1, {}, { body: { type: 'toString' } }]) {
    assert.ok(!isMessage(value));
  }
});
