/**
 * A counter on three replicas in one process, each with a folder of its own. Run it with
 * `node --import tsx packages/consensus/examples/replicated-counter.ts`.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { pathToFileURL } from 'node:url';
import { Random, SystemTimer, createSilentJournal } from '@berylwood/base';
import {
  FileDisk,
  Replica,
  StateMachine,
  Transport,
  createReplicaName,
  type Message,
  type ReplicaName,
} from '@berylwood/consensus';

/** Interval at which the example looks for a leader, in milliseconds. */
const POLL_MS = 20;

/** A number that each command increases by the number that it carries. */
class Counter extends StateMachine {
  value = 0;

  override apply(_index: number, command: Uint8Array): Uint8Array {
    this.value += Number(Buffer.from(command).toString());
    return this.snapshot();
  }

  override snapshot(): Uint8Array {
    return Buffer.from(String(this.value));
  }

  override restore(snapshot: Uint8Array): void {
    this.value = Number(Buffer.from(snapshot).toString());
  }
}

/** Carries messages between replicas of one process. */
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

async function openReplica(
  folder: string,
  replica: ReplicaName,
  names: readonly ReplicaName[],
  ends: Map<ReplicaName, LocalTransport>,
): Promise<Replica> {
  const timer = new SystemTimer();
  const opened = await Replica.open({
    replica,
    machine: new Counter(),
    transport: new LocalTransport(ends, replica),
    disk: await FileDisk.open(join(folder, replica)),
    timer,
    journal: createSilentJournal(timer, replica),
    random: new Random(names.indexOf(replica)),
    seeds: names.filter((name) => name !== replica),
    founder: replica === names[0],
  });
  if (opened.isErr()) throw opened.error;
  return opened.value;
}

/** Waits until a replica leads a group of this many voters under its lease. */
async function awaitLeader(replicas: readonly Replica[], voters: number): Promise<Replica> {
  const timer = new SystemTimer();
  for (;;) {
    const leader = replicas.find(({ holdsLease, status }) => {
      const count = status.membership.members.filter(({ kind }) => kind === 'voter').length;
      return holdsLease && count === voters;
    });
    if (leader) return leader;
    await timer.sleep(POLL_MS);
  }
}

async function add(leader: Replica, amount: number): Promise<number> {
  const result = await leader.propose(Buffer.from(String(amount)));
  if (result.isErr()) throw result.error;
  return Number(Buffer.from(result.value.result).toString());
}

/** Counts, closes the leader, and counts on with the two replicas that are left. */
export async function runExample(print: (line: string) => void): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'counter-'));
  const names = ['north', 'south', 'west'].map(createReplicaName);
  const ends = new Map<ReplicaName, LocalTransport>();
  const replicas = await Promise.all(names.map((name) => openReplica(folder, name, names, ends)));
  const first = await awaitLeader(replicas, names.length);
  print(`${first.status.replica} leads, the counter is ${await add(first, 2)}`);
  await first.close();
  const rest = replicas.filter((replica) => replica !== first);
  const second = await awaitLeader(rest, names.length);
  print(`${second.status.replica} leads, the counter is ${await add(second, 3)}`);
  for (const replica of rest) await replica.close();
  await rm(folder, { recursive: true });
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  // eslint-disable-next-line no-console -- the output of the example
  await runExample((line) => console.log(line));
}
