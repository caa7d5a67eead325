import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'node:test';
import { Random, SystemTimer, createSilentJournal } from '@berylwood/base';
import { RegisterMachine, encodeCommand } from '../simulation/RegisterMachine';
import { SimulatedNetwork, SimulatedTransport } from '../simulation/SimulatedNetwork';
import { createGroup, write } from '../simulation/createGroup';
import { FileDisk } from './FileDisk';
import { createReplicaName } from './ids';
import { Replica } from './Replica';

for (const count of [1, 3, 5]) {
  test(`a group of ${count} forms, commits and applies on each replica`, async () => {
    const group = await createGroup({ count });
    await write(group, group.leader, 7);
    await group.cluster.run(100);
    for (const node of group.cluster.nodes) assert.equal(node.machine.value, 7);
    assert.deepEqual([...group.invariants.violations], []);
  });
}

test('a group that restarts completely keeps all acknowledged writes', async () => {
  const group = await createGroup();
  const { cluster } = group;
  for (let value = 1; value <= 5; value += 1) await write(group, group.leader, value);
  cluster.nodes.forEach((node) => cluster.crash(node));
  await cluster.startAll();
  const isLed = (): boolean => cluster.leader?.replica?.holdsLease ?? false;
  assert.ok(await cluster.runUntil(isLed, 2000));
  assert.equal(cluster.leader?.machine.value, 5);
});

test('a follower that is down does not grow the log, and catches up by a snapshot', async () => {
  const limits = { snapshotEntries: 50, trailingEntries: 10, chunkBytes: 16 };
  const group = await createGroup({ replica: limits });
  const { cluster, leader, others } = group;
  const [crashed] = others;
  assert.ok(crashed);
  cluster.crash(crashed);
  for (let value = 1; value <= 300; value += 1) await write(group, leader, value);
  const { lastIndex, snapshotIndex } = leader.replica?.status ?? {};
  assert.ok((lastIndex ?? 0) - (snapshotIndex ?? 0) <= 60);
  await cluster.startNow(crashed);
  assert.ok(await cluster.runUntil(() => crashed.machine.value === 300, 2000));
  assert.ok((crashed.replica?.status.snapshotIndex ?? 0) > 200);
});

async function openOnFiles(directory: string) {
  const timer = new SystemTimer();
  const machine = new RegisterMachine();
  const replica = createReplicaName('alone');
  const random = new Random(1);
  const opened = await Replica.open({
    replica,
    machine,
    transport: new SimulatedTransport(new SimulatedNetwork(timer, random), replica),
    disk: await FileDisk.open(directory),
    timer,
    journal: createSilentJournal(timer),
    random,
    founder: true,
    heartbeatMs: 10,
    leaseMs: 30,
    electionTimeoutMs: 40,
    snapshotEntries: 20,
    segmentBytes: 1000,
  });
  const log = opened._unsafeUnwrap();
  while (!log.holdsLease) await timer.sleep(1);
  return { log, machine };
}

test('a single replica on real files continues after each restart', async (t) => {
  const directory = await mkdtemp(join(tmpdir(), 'consensus-'));
  t.after(() => rm(directory, { recursive: true }));
  for (let run = 0; run < 3; run += 1) {
    const { log, machine } = await openOnFiles(directory);
    assert.ok((await log.barrier()).isOk());
    assert.equal(machine.value, run * 50);
    const writes = Array.from({ length: 50 }, (_, i) => run * 50 + i + 1).map((value) =>
      log.propose(encodeCommand({ id: value, action: { type: 'write', value } })),
    );
    for (const result of await Promise.all(writes)) assert.ok(result.isOk());
    await log.close();
    assert.equal((await log.propose(new Uint8Array()))._unsafeUnwrapErr().code.name, 'stopped');
  }
});

test('a replica stops and reports the failure when its disk fails', async () => {
  const { cluster, leader } = await createGroup();
  leader.disk.append = () => Promise.reject(new Error('no space'));
  const proposal = leader.replica?.propose(new Uint8Array(1));
  await cluster.run(50);
  assert.equal((await proposal)?._unsafeUnwrapErr().notRun, 'unknown');
  assert.equal(leader.replica?.status.failure?.code.name, 'diskFailed');
});

test('a replica whose state machine cannot restore its snapshot does not open', async () => {
  const group = await createGroup({ replica: { snapshotEntries: 5 } });
  const { cluster, others } = group;
  for (let value = 1; value <= 20; value += 1) await write(group, group.leader, value);
  await cluster.run(200);
  const [node] = others;
  assert.ok(node?.replica && node.replica.status.snapshotIndex > 0);
  cluster.crash(node);
  const restore = (): void => {
    throw new Error('unknown format');
  };
  const { prototype } = RegisterMachine;
  const original = prototype.restore;
  prototype.restore = restore;
  await cluster.startNow(node);
  prototype.restore = original;
  assert.equal(node.refusal, 'internal');
});
