import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random } from '@berylwood/base';
import { reserveAddress, startMesh, waitUntil } from '../fixtures/meshes';
import type { Status } from './MeshMessage';
import { OperatorListeners } from './OperatorListeners';

const FAST = { address: '10.0.0.1:80', linkMbps: 70 };
const ALSO_FAST = { address: '10.0.0.2:80', linkMbps: 70 };
/** Time in which an instance sends several statuses, in milliseconds. */
const STATUS_TIME_MS = 1000;

const SLOW = { address: '10.0.0.3:80', linkMbps: 7 };

function createStatus(fields: Partial<Status>): Status {
  return {
    type: 'status',
    version: 1,
    isLeader: false,
    term: 1,
    members: [],
    instances: 0,
    closedWindow: -1,
    timeMs: 0,
    ...fields,
  };
}

function pickMany(statuses: readonly Status[]): Set<string | undefined> {
  const listeners = new OperatorListeners({ statuses: [...statuses] });
  const random = new Random(1);
  return new Set(Array.from({ length: 50 }, () => listeners.pickFastest(random)?.address));
}

test('reads are spread over the instances with the fastest link', () => {
  const statuses = [SLOW, FAST, ALSO_FAST].map((operators) => createStatus({ operators }));
  assert.deepEqual(pickMany(statuses), new Set([FAST.address, ALSO_FAST.address]));
});

// Guards against reads that wait behind a new configuration, which the leader sends to all instances.
test('the leader is picked only if no other link is as fast', () => {
  const leader = createStatus({ operators: FAST, isLeader: true });
  const follower = createStatus({ operators: ALSO_FAST });
  assert.deepEqual(pickMany([leader, follower]), new Set([ALSO_FAST.address]));
  const slow = createStatus({ operators: SLOW });
  assert.deepEqual(pickMany([leader, slow]), new Set([FAST.address]));
});

test('an instance that stops or states no listener is not picked', () => {
  const statuses = [createStatus({ operators: FAST, isLeaving: true }), createStatus({})];
  assert.deepEqual(pickMany(statuses), new Set([undefined]));
  assert.deepEqual(
    pickMany([...statuses, createStatus({ operators: SLOW })]),
    new Set([SLOW.address]),
  );
});

// Guards against a listener that is forgotten with the next status, as it is stated once on each link.
test('a listener is known for as long as its link is open', async (t) => {
  const address = await reserveAddress();
  const plan = { seeds: () => [address], originDirectory: undefined };
  const stating = await startMesh({ ...plan, address, operators: FAST });
  const reading = await startMesh({ ...plan, address: await reserveAddress() });
  t.after(() => reading.stop());
  const random = new Random(1);
  const pick = () => reading.mesh.operators.pickFastest(random);
  try {
    await waitUntil(() => pick() !== undefined);
    await new Promise((resolve) => {
      setTimeout(resolve, STATUS_TIME_MS);
    });
    assert.deepEqual(pick(), FAST);
  } finally {
    await stating.stop();
  }
  await waitUntil(() => pick() === undefined);
});
