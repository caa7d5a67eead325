import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ok } from 'neverthrow';
import { handleMeshCall } from './handleMeshCall';
import { LeaderCalls } from './LeaderCalls';
import type { DialerMessage } from './MeshMessage';
import type { Peer } from './Peers';
import type { Registry } from './Registry';
import type { StoredConfiguration } from './RegistryMachine';
import type { StreamOriginLog } from './StreamOriginLog';

const OLD: StoredConfiguration = { version: 3, body: new Uint8Array([3]) };
const NEWEST: StoredConfiguration = { version: 4, body: new Uint8Array([4]) };

/** Reads from a leader that has `stored`, as an instance that holds `held`; returns what was sent, too. */
async function readFrom(
  stored: StoredConfiguration | undefined,
  held: StoredConfiguration | undefined,
  { isLeaderOld = false } = {},
) {
  const registry = { readNewest: async () => ok(stored) } as unknown as Registry;
  const originLog = undefined as unknown as StreamOriginLog;
  const replies: unknown[] = [];
  const call = async (message: DialerMessage) => {
    // Earlier versions do not know the field.
    const received = isLeaderOld ? { ...message, held: undefined } : message;
    const reply = await handleMeshCall({ registry, applied: stored, originLog }, received);
    replies.push(reply.unwrapOr(undefined));
    return reply;
  };
  const leader = { dialer: { link: { call } } } as unknown as Peer;
  const calls = new LeaderCalls({
    registry: undefined,
    leader: () => leader,
    applied: () => held,
  });
  const read = await calls.readNewest();
  return { read: read.unwrapOr(undefined), reply: replies[0] };
}

// Guards against a confirmation that takes as long as the document, although the instance holds it.
test('a read is confirmed without the document if the instance holds it', async () => {
  const { read, reply } = await readFrom(NEWEST, NEWEST);
  assert.deepEqual(read, NEWEST);
  assert.deepEqual(reply, { version: 4 });
});

test('a read brings the document if the instance holds another one or none', async () => {
  for (const held of [OLD, undefined]) {
    const { read } = await readFrom(NEWEST, held);
    assert.deepEqual(read, NEWEST);
  }
  assert.equal((await readFrom(undefined, undefined)).read, undefined);
});

test('a read from a leader of an earlier version brings the document', async () => {
  const { read, reply } = await readFrom(NEWEST, NEWEST, { isLeaderOld: true });
  assert.deepEqual(read, NEWEST);
  assert.deepEqual(reply, NEWEST);
});
