/**
 * Measures the control group with real processes and real syncs: rate and latency of committed
 * commands compared with plain synced appends, failover time, time until a change is in force, CPU
 * usage of renewals, and memory. The last line of the output is one JSON object.
 */
/* eslint-disable no-console -- a benchmark prints its results */
import { fdatasyncSync, closeSync, openSync, writeSync } from 'node:fs';
import { join } from 'node:path';
import { SystemTimer, asId, createSilentJournal } from '@berylwood/base';
import { Subscription } from '@berylwood/feed';
import {
  asWorkspaceId,
  createAttemptId,
  createChangeId,
  createIncarnationId,
  createRequestId,
  emptyConfiguration,
} from '@berylwood/schema';
import { percentile, processorSeconds, residentMegabytes, until } from '@berylwood/testing';
import { startGroup, type ReplicaGroup } from '../src/testing/startGroup';

const CLIENTS = [1, 16, 256];
const RUN_MS = 2000;
const SUBSCRIBERS = 200;
const CHANGES = 15;
const RENEWALS_MS = 4000;
const COMMANDS = 100_000;
const RECORD_BYTES = 300;
const CALL_TIMEOUT_MS = 10_000;

const timer = new SystemTimer();
const journal = createSilentJournal(timer);

function subscribe(group: ReplicaGroup, process: string): Subscription {
  const subscription = new Subscription({
    timer,
    journal,
    addresses: group.nodeAddresses,
    group: 'default',
    process,
    incarnation: createIncarnationId(),
    dataCentre: asId('naas'),
  });
  subscription.open();
  return subscription;
}

/** Measures the rate and latency of synced appends of records as large as a command. */
function measureAppends(directory: string): { perSecond: number; p50Ms: number } {
  const file = openSync(join(directory, 'appends'), 'a');
  const record = Buffer.alloc(RECORD_BYTES, 1);
  const times: number[] = [];
  const end = timer.now() + RUN_MS / 2;
  while (timer.now() < end) {
    const start = timer.now();
    writeSync(file, record);
    fdatasyncSync(file);
    times.push(timer.now() - start);
  }
  closeSync(file);
  return { perSecond: (times.length * 1000) / (RUN_MS / 2), p50Ms: percentile(times, 0.5) };
}

function createMeter(subscription: Subscription) {
  const incarnation = createIncarnationId();
  let sequence = 0;
  return () => {
    sequence += 1;
    const record = {
      sequence,
      attempt: createAttemptId(),
      request: createRequestId(),
      workspace: asWorkspaceId('acme'),
      class: 'chat',
      model: 'm',
      work: { inputTokens: 1, outputTokens: 1, cachedTokens: 0 },
      billable: true,
    };
    const batch = { endpoint: asId<'endpoint'>('engine-1'), incarnation, records: [record] };
    return subscription.call<number>({ type: 'meter', batch }, CALL_TIMEOUT_MS);
  };
}

async function measureCommands(group: ReplicaGroup, link: Subscription, clients: number) {
  const latencies: number[] = [];
  const before = await group.leader();
  const start = timer.now();
  const run = async (): Promise<void> => {
    const meter = createMeter(link);
    while (timer.now() - start < RUN_MS) {
      const sent = timer.now();
      if ((await meter()).isOk()) latencies.push(timer.now() - sent);
    }
  };
  await Promise.all(Array.from({ length: clients }, run));
  const elapsedMs = timer.now() - start;
  const syncs = (await group.leader()).syncs - before.syncs;
  return {
    clients,
    perSecond: Math.round((latencies.length * 1000) / elapsedMs),
    commandsPerSync: Number((latencies.length / Math.max(1, syncs)).toFixed(1)),
    p50Ms: Number(percentile(latencies, 0.5).toFixed(2)),
    p99Ms: Number(percentile(latencies, 0.99).toFixed(2)),
  };
}

async function measureFailover(group: ReplicaGroup): Promise<number> {
  const { replica } = await group.leader();
  const start = timer.now();
  await group.deployment.process(replica).kill();
  await group.operators.call((client) =>
    client.intendOrder.mutate({
      change: createChangeId(),
      order: asId('ord-failover'),
      action: { type: 'start', dataCentre: asId('naas'), model: 'm' },
    }),
  );
  const elapsedMs = timer.now() - start;
  group.deployment.process(replica).start();
  return Math.round(elapsedMs);
}

async function measureInForce(group: ReplicaGroup): Promise<number[]> {
  const times: number[] = [];
  for (let number = 0; number < CHANGES; number += 1) {
    const { index, revision } = await group.operators.call((client) => client.position.query());
    const customers = { acme: { plan: `p${number}` } };
    const configuration = { ...emptyConfiguration, customers };
    const input = { change: createChangeId(index), operator: 'bench', expected: revision };
    const accepted = await group.operators.call((client) =>
      client.applyPlans.mutate({ ...input, configuration }),
    );
    const start = timer.now();
    await until('the change is in force', async () => {
      const query = { index: accepted.index, timeoutMs: 5000 };
      return (await group.operators.call((client) => client.waitInForce.query(query))).inForce;
    });
    times.push(timer.now() - start);
  }
  return times;
}

async function measureProcessor(group: ReplicaGroup): Promise<number> {
  const pid = group.deployment.process((await group.leader()).replica).pid ?? 0;
  const before = processorSeconds(pid);
  await timer.sleep(RENEWALS_MS);
  return Number((((processorSeconds(pid) - before) * 100_000) / RENEWALS_MS).toFixed(1));
}

async function measureSubscribers(group: ReplicaGroup) {
  const idle = await measureProcessor(group);
  const nodes = Array.from({ length: SUBSCRIBERS }, (_, index) => subscribe(group, `n${index}`));
  await until('all nodes are fresh', () => nodes.every(({ isFresh }) => isFresh), 30_000);
  const times = await measureInForce(group);
  const busy = await measureProcessor(group);
  for (const node of nodes) node[Symbol.dispose]();
  return {
    inForceP50Ms: Math.round(percentile(times, 0.5)),
    inForceP99Ms: Math.round(percentile(times, 0.99)),
    idlePercentOfCore: idle,
    with400RenewalsPercentOfCore: busy,
  };
}

async function measureMemory(group: ReplicaGroup, link: Subscription) {
  let sent = 0;
  const run = async (): Promise<void> => {
    const meter = createMeter(link);
    while (sent < COMMANDS) {
      sent += 1;
      await meter();
    }
  };
  await Promise.all(Array.from({ length: 256 }, run));
  const { replica, commitIndex } = await group.leader();
  const pid = group.deployment.process(replica).pid ?? 0;
  return { commitIndex, leaderMegabytes: residentMegabytes(pid) };
}

async function measureGroup(replicas: number, withAll: boolean) {
  const group = await startGroup(replicas);
  try {
    const appends = measureAppends(group.deployment.folder);
    const link = subscribe(group, 'bench');
    await until('the bench is connected', () => link.isFresh);
    const commands = [];
    for (const clients of CLIENTS) commands.push(await measureCommands(group, link, clients));
    console.log(JSON.stringify({ replicas, appends, commands }));
    if (!withAll) return { replicas, appends, commands };
    const subscribers = await measureSubscribers(group);
    console.log(JSON.stringify(subscribers));
    const memory = await measureMemory(group, link);
    console.log(JSON.stringify(memory));
    link[Symbol.dispose]();
    const failoverMs = await measureFailover(group);
    return { replicas, appends, commands, ...subscribers, ...memory, failoverMs };
  } finally {
    await group.deployment.close();
  }
}

const three = await measureGroup(3, true);
const five = await measureGroup(5, false);
console.log(JSON.stringify({ bench: 'control', groups: [three, five] }));
process.exit(0);
