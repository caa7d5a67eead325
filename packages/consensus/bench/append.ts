/**
 * Measures committed commands a second and their latency over replicas of one process with real
 * files, next to the bare rate of synced appends on the same disk in the same run. Options:
 * `--folder` (a temporary folder by default), `--seconds` for each case, `--bytes` of a command.
 * The last line is one JSON object.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { Random, SystemTimer, createSilentJournal } from '@berylwood/base';
import { build } from 'hdr-histogram-js';
import {
  FileDisk,
  Replica,
  StateMachine,
  Transport,
  createReplicaName,
  type Message,
  type ReplicaName,
} from '@berylwood/consensus';

const CLIENTS = [1, 16, 256];
const REPLICAS = [3, 5];
const DEFAULT_SECONDS = 3;
const DEFAULT_BYTES = 128;
const POLL_MS = 20;
const WARM_UP_MS = 500;
const MICROSECONDS_PER_MS = 1000;
const timer = new SystemTimer();

class Sink extends StateMachine {
  override apply(): Uint8Array {
    return new Uint8Array();
  }

  override snapshot(): Uint8Array {
    return new Uint8Array();
  }

  override restore(): void {
    // Nothing is kept.
  }
}

class LocalTransport extends Transport {
  readonly #ends: Map<ReplicaName, LocalTransport>;

  constructor(ends: Map<ReplicaName, LocalTransport>, replica: ReplicaName) {
    super();
    this.#ends = ends;
    ends.set(replica, this);
  }

  override send(to: ReplicaName, message: Message): void {
    setImmediate(() => this.#ends.get(to)?.onMessage(message));
  }
}

interface Latency {
  readonly count: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

interface Measurement extends Latency {
  readonly replicas: number;
  readonly clients: number;
  readonly commandsPerSecond: number;
  readonly commandsPerSync: number;
}

function round(value: number): number {
  return Math.round(value * MICROSECONDS_PER_MS) / MICROSECONDS_PER_MS;
}

/** Calls an action over and over on behalf of each client until the time has passed. */
async function measure(
  clients: number,
  durationMs: number,
  action: () => Promise<unknown>,
): Promise<Latency> {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
  const end = timer.now() + durationMs;
  const client = async (): Promise<void> => {
    while (timer.now() < end) {
      const start = timer.now();
      await action();
      const elapsed = (timer.now() - start) * MICROSECONDS_PER_MS;
      histogram.recordValue(Math.max(1, Math.round(elapsed)));
    }
  };
  await Promise.all(Array.from({ length: clients }, client));
  const percentile = (value: number): number =>
    histogram.getValueAtPercentile(value) / MICROSECONDS_PER_MS;
  return {
    count: histogram.totalCount,
    meanMs: round(histogram.mean / MICROSECONDS_PER_MS),
    p50Ms: percentile(50),
    p99Ms: percentile(99),
  };
}

async function openGroup(folder: string, count: number): Promise<Replica[]> {
  const names = Array.from({ length: count }, (_, i) => createReplicaName(`replica-${i + 1}`));
  const ends = new Map<ReplicaName, LocalTransport>();
  const opening = names.map(async (replica, position) => {
    const opened = await Replica.open({
      replica,
      machine: new Sink(),
      transport: new LocalTransport(ends, replica),
      disk: await FileDisk.open(join(folder, replica)),
      timer,
      journal: createSilentJournal(timer, replica),
      random: new Random(position),
      seeds: names.filter((name) => name !== replica),
      founder: position === 0,
    });
    return opened._unsafeUnwrap();
  });
  return Promise.all(opening);
}

async function awaitLeader(replicas: readonly Replica[]): Promise<Replica> {
  for (;;) {
    const leader = replicas.find(({ holdsLease, status }) => {
      const voters = status.membership.members.filter(({ kind }) => kind === 'voter');
      return holdsLease && voters.length === replicas.length;
    });
    if (leader) return leader;
    await timer.sleep(POLL_MS);
  }
}

async function measureGroup(
  folder: string,
  count: number,
  durationMs: number,
  command: Uint8Array,
): Promise<Measurement[]> {
  const replicas = await openGroup(folder, count);
  const leader = await awaitLeader(replicas);
  const propose = async (): Promise<void> => {
    (await leader.propose(command))._unsafeUnwrap();
  };
  await measure(1, WARM_UP_MS, propose);
  const measurements: Measurement[] = [];
  for (const clients of CLIENTS) {
    const before = leader.status.syncs;
    const latency = await measure(clients, durationMs, propose);
    const syncs = leader.status.syncs - before;
    measurements.push({
      replicas: count,
      clients,
      ...latency,
      commandsPerSecond: Math.round((latency.count / durationMs) * MICROSECONDS_PER_MS),
      commandsPerSync: round(latency.count / syncs),
    });
  }
  for (const replica of replicas) await replica.close();
  return measurements;
}

async function measureBareAppends(
  folder: string,
  durationMs: number,
  bytes: Uint8Array,
): Promise<Latency> {
  const disk = await FileDisk.open(join(folder, 'bare'));
  const latency = await measure(1, durationMs, () => disk.append('bare', bytes));
  await disk.close();
  return latency;
}

const { values } = parseArgs({
  options: {
    folder: { type: 'string' },
    seconds: { type: 'string' },
    bytes: { type: 'string' },
  },
});
const durationMs = Number(values.seconds ?? DEFAULT_SECONDS) * 1000;
const command = new Uint8Array(Number(values.bytes ?? DEFAULT_BYTES)).fill(1);
const folder = await mkdtemp(join(values.folder ?? tmpdir(), 'append-'));
const bare = await measureBareAppends(folder, durationMs, command);
const cases: Measurement[] = [];
for (const count of REPLICAS) {
  cases.push(...(await measureGroup(join(folder, `of-${count}`), count, durationMs, command)));
}
const bareAfter = await measureBareAppends(folder, durationMs, command);
await rm(folder, { recursive: true });
const bareMeanMs = (bare.meanMs + bareAfter.meanMs) / 2;
const result = {
  bareBefore: bare,
  bareAfter,
  cases: cases.map((item) => ({ ...item, p99InBareMeans: round(item.p99Ms / bareMeanMs) })),
};
// eslint-disable-next-line no-console -- the result of the benchmark
console.log(JSON.stringify(result));
