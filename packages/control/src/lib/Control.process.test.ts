import assert from 'node:assert/strict';
import { mkdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { createChangeId, emptyConfiguration } from '@berylwood/schema';
import { checkFences, checkWindows, until } from '@berylwood/testing';
import { GroupWorkload } from '../testing/GroupWorkload';
import { startGroup, type ReplicaGroup } from '../testing/startGroup';

/** Timeout of a change of leader while many tests share the machine. */
const LEADER_CHANGE_TIMEOUT_MS = 40_000;

/** Time to wait until an order is in flight; shorter than its deadline. */
const ORDER_SEND_MS = 120;

/** Longer than the lease and the election timeout together. */
const FAULT_MS = 2500;

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/**
 * Injects a fault into the leader while an order is in flight to the platform, waits until another
 * replica leads, and returns the former leader's name.
 */
async function replaceLeader(
  group: ReplicaGroup,
  fault: (name: string) => void,
  hold: (name: string) => void = (name) => group.partitionFromPlatform(name),
): Promise<string> {
  const before = await group.leader();
  hold(before.replica);
  await sleep(ORDER_SEND_MS);
  fault(before.replica);
  const isReplaced = async () => (await group.leader()).fence > before.fence;
  await until('another replica leads', isReplaced, LEADER_CHANGE_TIMEOUT_MS);
  return before.replica;
}

interface TokenLine {
  readonly work: { readonly outputTokens: number };
}

test('leaders that freeze, are cut off or die give no orders or reports after a newer one', async () => {
  const group = await startGroup(3);
  try {
    const { deployment, operators } = group;
    const workload = new GroupWorkload(operators, group.nodeAddresses);
    workload.start();
    await sleep(500);
    const hold = (name: string): void => group.holdNextBody(name);
    const freeze = (name: string): void => deployment.process(name).freeze();
    const frozen = await replaceLeader(group, freeze, hold);
    await sleep(FAULT_MS);
    group.heal(frozen);
    deployment.process(frozen).thaw();
    await sleep(500);
    const partitioned = await replaceLeader(group, (name) => group.partition(name));
    await sleep(FAULT_MS);
    group.heal(partitioned);
    await sleep(500);
    const kill = (name: string): void => deployment.process(name).signal('SIGKILL');
    const killed = await replaceLeader(group, kill, hold);
    group.heal(killed);
    deployment.process(killed).start();
    await sleep(500);
    await workload.stop();

    await until('all accepted orders are answered', async () => {
      const orders = await operators.call((client) => client.orders.query());
      const answered = new Set(
        orders.filter(({ step }) => step === 'answered').map((o) => o.order),
      );
      return workload.accepted.every((order) => answered.has(order as never));
    });
    await until('all usage is reported', async () => {
      const windows = await operators.call((client) => client.windows.query());
      const open = await operators.call((client) => client.usage.query());
      return open.length === 0 && windows.every(({ state }) => state === 'reported');
    });
    const history = await deployment.history('platform');
    assert.deepEqual(checkFences('platform', history), []);
    assert.deepEqual(checkWindows(history), []);
    const sentOrders = new Set(
      history.filter(({ kind }) => kind === 'order').map((r) => r.fields.order),
    );
    assert.ok(
      workload.accepted.every((order) => sentOrders.has(order)),
      'each accepted order was sent',
    );
    const reports = new Map(
      history
        .filter(({ kind }) => kind === 'usage')
        .map(({ fields }) => [
          fields.window,
          JSON.parse(String(fields.body)) as { lines: TokenLine[] },
        ]),
    );
    const tokens = [...reports.values()].flatMap(({ lines }) =>
      lines.map(({ work }) => work.outputTokens),
    );
    assert.equal(
      tokens.reduce((sum, count) => sum + count, 0),
      workload.acknowledgedTokens,
    );
  } finally {
    await group.deployment.close();
  }
});

test('a replica that lost its disk joins as another, and a second loss right after loses nothing', async () => {
  const group = await startGroup(3);
  try {
    const { deployment, operators } = group;
    const workload = new GroupWorkload(operators, group.nodeAddresses);
    workload.start();
    await sleep(300);
    const membership = () => operators.call((client) => client.replicas.query());
    // The founder admits the other replicas one by one; until then the loss of a disk can end the group.
    await until('the group has its three voters', async () => {
      const { members } = await membership();
      return members.filter(({ kind }) => kind === 'voter').length === group.names.length;
    });
    const { replica: leader } = await group.leader();
    const [lost, other] = group.names.filter((name) => name !== leader) as [string, string];
    const incarnationOf = async (name: string) =>
      (await membership()).members.find(({ replica }) => replica === name);
    const before = await incarnationOf(lost);

    await deployment.process(lost).kill();
    rmSync(join(deployment.folder, lost), { recursive: true });
    mkdirSync(join(deployment.folder, lost));
    deployment.process(lost).start();
    await until('the replica is a voter with another incarnation', async () => {
      const now = await incarnationOf(lost);
      return now?.kind === 'voter' && now.incarnation !== before?.incarnation;
    });
    await deployment.process(leader).kill();
    rmSync(join(deployment.folder, leader), { recursive: true });
    await sleep(300);
    await workload.stop();

    const orders = await operators.call((client) => client.orders.query());
    const known = new Set<string>(orders.map(({ order }) => order));
    assert.ok(workload.accepted.length > 0);
    assert.ok(
      workload.accepted.every((order) => known.has(order)),
      'no accepted order is lost',
    );
    assert.equal((await incarnationOf(other))?.kind, 'voter');
  } finally {
    await group.deployment.close();
  }
});

/** Makes changes one after another, each based on the latest revision; returns those it created. */
async function race(group: ReplicaGroup, operator: string, count: number): Promise<number[]> {
  const { operators } = group;
  const won: number[] = [];
  while (won.length < count) {
    const { index, revision: expected } = await operators.call((client) => client.position.query());
    const change = createChangeId(index);
    const customers = { [operator]: { plan: String(won.length) } };
    const configuration = { ...emptyConfiguration, customers };
    const input = { change, operator, expected, configuration };
    const send = () => operators.call((client) => client.applyPlans.mutate(input));
    // Each change is sent twice, as after a lost response.
    const [first, second] = await Promise.allSettled([send(), send()]);
    assert.equal(first.status, second.status);
    if (first.status === 'rejected') {
      assert.match(String(first.reason), /3000: made against revision/);
    } else if (second.status === 'fulfilled') {
      assert.deepEqual(first.value, second.value);
      won.push(first.value.revision);
    }
  }
  return won;
}

test('of concurrent changes against the same revision one succeeds, also when responses are lost', async () => {
  const group = await startGroup(3);
  try {
    const races = [race(group, 'asha', 150), race(group, 'orla', 150)];
    const { replica } = await group.leader();
    await sleep(300);
    await group.deployment.process(replica).kill();
    group.deployment.process(replica).start();
    const won = (await Promise.all(races)).flat();
    assert.equal(new Set(won).size, won.length, 'no revision was assigned twice');
    const history = await group.operators.call((client) => client.history.query());
    const revisions = history.map(({ revision }) => revision);
    assert.deepEqual(
      revisions,
      revisions.map((_, index) => index + 1),
    );
    assert.ok(
      won.every((revision) => revisions.includes(revision)),
      'no accepted change is lost',
    );
    assert.ok(group.operators.resends > 0, 'responses were lost');
  } finally {
    await group.deployment.close();
  }
});

test('a single replica keeps its state after a kill, and does not start without its data directory', async () => {
  const group = await startGroup(1);
  try {
    const { deployment } = group;
    const { key } = await deployment.giveKey('acme');
    const child = deployment.process('control-1');
    await child.kill();
    child.start();
    const keys = await group.operators.call((client) => client.listKeys.query());
    assert.deepEqual(
      keys.map((item) => item.key),
      [key],
    );
    const backup = join(deployment.folder, 'backup');
    await deployment.operate('backup', backup);
    await assert.rejects(deployment.operate('restore', backup), /3050/);
    await child.kill();
    const folder = join(deployment.folder, 'control-1');
    rmSync(folder, { recursive: true });
    child.start();
    await until('the process has ended', () => !child.isRunning);
    assert.deepEqual(await child.kill(), { code: 5, signal: null });
    child.expectLine(`data folder ${folder} does not exist`);
  } finally {
    await group.deployment.close();
  }
});
