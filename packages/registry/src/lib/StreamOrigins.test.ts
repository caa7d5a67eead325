import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Metrics, VirtualTimer, createSilentJournal } from '@berylwood/base';
import { ok } from 'neverthrow';
import { FakeDisk, FakeFiles } from '../fixtures/FakeDisk';
import { FakeHolder } from '../fixtures/FakeHolder';
import { createOrigin, settle } from '../fixtures/originLog';
import type { RecordOutcome } from './OriginBatch';
import { StreamOriginLog } from './StreamOriginLog';
import { StreamOrigins } from './StreamOrigins';

const COLLECT_MS = 2;
const RECORD_BOUND_MS = 60;
const SEARCH_BOUND_MS = 250;

interface Setup {
  readonly holders?: number;
  readonly hasDisk?: boolean;
  readonly tolerance?: number;
}

function createOrigins({ holders = 2, hasDisk = true, tolerance = 1 }: Setup = {}) {
  const timer = new VirtualTimer();
  const journal = createSilentJournal(timer);
  const metrics = new Metrics();
  const own = new FakeFiles();
  const openDisk = hasDisk ? async () => new FakeDisk(own) : undefined;
  const log = new StreamOriginLog({ openDisk, timer, journal });
  const originHolders = Array.from(
    { length: holders },
    (_, i) => new FakeHolder(`10.0.0.${i + 2}:1`, timer),
  );
  const peers = { originHolders, areAllKnown: true };
  const origins = new StreamOrigins({ log, peers, tolerance, timer, journal, metrics });
  const advance = async (durationMs: number): Promise<void> => {
    await settle();
    timer.advance(durationMs);
    await settle();
  };
  const events = () => journal.recent().map(({ name }) => name);
  return { origins, peers, timer, metrics, own, log, advance, events };
}

/** Follows a promise, so that a test sees whether it has settled. */
function follow<T>(promise: Promise<T>): { value: T | 'pending' } {
  const state: { value: T | 'pending' } = { value: 'pending' };
  promise.then((value) => {
    state.value = value;
  });
  return state;
}

test('a record is durable once more disks have it than may be lost', async () => {
  for (const stalled of [0, 1, 2]) {
    const { origins, peers, own, advance } = createOrigins();
    [own, ...peers.originHolders.map(({ files }) => files)][stalled]?.setStalled(true);
    const outcome = follow(origins.record(createOrigin('a')));
    await advance(COLLECT_MS);
    assert.equal(outcome.value, 'durable', `disk ${stalled} stalled`);
  }
});

test('an instance without a disk writes to the disks of the others', async () => {
  const { origins, peers, advance } = createOrigins({ hasDisk: false, holders: 3 });
  const outcome = follow(origins.record(createOrigin('a')));
  await advance(COLLECT_MS);
  assert.equal(outcome.value, 'durable');
  for (const { log } of peers.originHolders) {
    assert.equal(log.find({ stream: 'a', pool: 'pool' }), 'v1');
  }
});

test('records within the time of collection share one message and one sync', async () => {
  const { origins, peers, log, advance } = createOrigins();
  const outcomes = Array.from({ length: 20 }, (_, i) =>
    follow(origins.record(createOrigin(`${i}`))),
  );
  await advance(COLLECT_MS);
  assert.ok(outcomes.every(({ value }) => value === 'durable'));
  for (const { received } of peers.originHolders) assert.equal(received.length, 1);
  assert.equal(log.syncs, 1);
});

test('a record that too few disks have in time ends at the bound', async () => {
  const { origins, peers, own, advance } = createOrigins();
  for (const { files } of peers.originHolders) files.setStalled(true);
  const outcome = follow(origins.record(createOrigin('a')));
  await advance(RECORD_BOUND_MS - 1);
  assert.equal(outcome.value, 'pending');
  await advance(1);
  assert.equal(outcome.value, 'partial');
  own.setStalled(true);
  const none = follow(origins.record(createOrigin('b')));
  await advance(RECORD_BOUND_MS);
  assert.equal(none.value, 'unavailable');
});

test('a record ends at once if too few holders are connected, and is sent to the others', async () => {
  const { origins, peers, advance } = createOrigins({ hasDisk: false, holders: 1 });
  const outcome = follow(origins.record(createOrigin('a')));
  await advance(0);
  assert.equal(outcome.value, 'unavailable');
  await advance(COLLECT_MS);
  const key = { stream: 'a', pool: 'pool' };
  assert.equal(peers.originHolders[0]?.log.find(key), 'v1');
});

test('a record ends early if full disks have refused it', async () => {
  const { origins, peers, advance } = createOrigins();
  for (const { files } of peers.originHolders) files.error = new Error('ENOSPC');
  const outcome = follow(origins.record(createOrigin('a')));
  await advance(COLLECT_MS);
  assert.equal(outcome.value, 'partial');
  assert.equal(await origins.find({ stream: 'a', pool: 'pool' }), 'v1');
});

test('records do not wait while the disks are stalled, and wait again afterwards', async () => {
  const { origins, peers, events, advance } = createOrigins();
  const setStalled = (isStalled: boolean): void => {
    for (const { files } of peers.originHolders) files.setStalled(isStalled);
  };
  setStalled(true);
  let waited = 0;
  for (let i = 0; i < 100; i += 1) {
    const outcome = follow(origins.record(createOrigin(`stalled ${i}`)));
    await advance(0);
    if (outcome.value === 'pending') waited += 1;
    await advance(14);
  }
  assert.ok(waited > 0 && waited < 10, `${waited} records waited`);
  assert.deepEqual(events(), ['originsUnavailable']);
  setStalled(false);
  await advance(1000);
  const outcomes: (RecordOutcome | 'pending')[] = [];
  for (let i = 0; i < 3; i += 1) {
    const outcome = follow(origins.record(createOrigin(`later ${i}`)));
    await advance(14);
    outcomes.push(outcome.value);
  }
  assert.deepEqual(outcomes, ['unavailable', 'durable', 'durable']);
  await advance(10_000);
  origins.record(createOrigin('last'));
  await advance(COLLECT_MS);
  assert.deepEqual(events(), ['originsUnavailable', 'originsAvailable']);
});

test('a change of the storage is logged once in a while however often it changes', async () => {
  const { origins, peers, events, advance } = createOrigins();
  for (let i = 0; i < 100; i += 1) {
    for (const holder of peers.originHolders) holder.isSilent = i % 10 < 5;
    origins.record(createOrigin(`${i}`));
    await advance(80);
  }
  assert.ok(events().length <= 2, events().join(' '));
});

test('repeats of a stream with another version do not make the storage unavailable', async () => {
  const { origins, advance } = createOrigins();
  origins.record(createOrigin('a', 'v1'));
  await advance(COLLECT_MS);
  for (let i = 0; i < 10; i += 1) {
    const outcome = follow(origins.record(createOrigin('a', 'v2')));
    await advance(COLLECT_MS);
    assert.equal(outcome.value, 'unavailable');
  }
  const other = follow(origins.record(createOrigin('b')));
  await advance(COLLECT_MS);
  assert.equal(other.value, 'durable');
  assert.equal(await origins.find({ stream: 'a', pool: 'pool' }), 'v1');
});

test('no more holders than needed are written to, and one that failed comes last', async () => {
  const { origins, peers, advance } = createOrigins({ hasDisk: false, holders: 5 });
  const [first] = peers.originHolders;
  if (first) first.isSilent = true;
  const record = async (stream: string): Promise<void> => {
    origins.record(createOrigin(stream));
    await advance(COLLECT_MS);
    await advance(RECORD_BOUND_MS);
  };
  await record('a');
  const countReceived = () => peers.originHolders.map(({ received }) => received.length);
  assert.deepEqual(countReceived(), [1, 1, 1, 0, 0]);
  await record('b');
  assert.deepEqual(countReceived(), [1, 2, 2, 1, 0]);
  await advance(1000);
  await record('c');
  assert.deepEqual(countReceived(), [2, 3, 3, 1, 0]);
});

test('names of any length are refused or found, and change nothing else', async () => {
  const { origins, peers, advance } = createOrigins();
  for (const stream of ['', 'x'.repeat(129), 'x'.repeat(100_000)]) {
    const outcome = follow(origins.record(createOrigin(stream)));
    await advance(COLLECT_MS);
    assert.equal(outcome.value, 'unavailable');
    assert.equal(await origins.find({ stream, pool: 'pool' }), undefined);
  }
  assert.deepEqual(peers.originHolders[0]?.received, []);
  const longest = follow(origins.record(createOrigin('x'.repeat(128))));
  await advance(COLLECT_MS);
  assert.equal(longest.value, 'durable');
});

test('a search ends with the first holder that knows the stream', async () => {
  const { origins, peers, advance } = createOrigins({ hasDisk: false, holders: 3 });
  const [silent, knowing] = peers.originHolders;
  if (silent) silent.isSilent = true;
  await knowing?.log.append([createOrigin('a', 'v7')]);
  const found = follow(origins.find({ stream: 'a', pool: 'pool' }));
  await advance(0);
  assert.equal(found.value, 'v7');
});

test('a search ends once all holders have replied that they do not know the stream', async () => {
  const { origins, metrics, advance } = createOrigins();
  const found = follow(origins.find({ stream: 'a', pool: 'pool' }));
  await advance(0);
  assert.equal(found.value, undefined);
  const exposed = await metrics.expose();
  assert.match(exposed, /berylwood_stream_origin_searches_total\{outcome="absent"\} 1/);
});

test('a search with a silent holder ends at the bound', async () => {
  const { origins, peers, metrics, advance } = createOrigins();
  for (const holder of peers.originHolders) holder.isSilent = true;
  const found = follow(origins.find({ stream: 'a', pool: 'pool' }));
  await advance(SEARCH_BOUND_MS - 1);
  assert.equal(found.value, 'pending');
  await advance(1);
  assert.equal(found.value, undefined);
  const exposed = await metrics.expose();
  assert.match(exposed, /berylwood_stream_origin_searches_total\{outcome="unanswered"\} 1/);
});

test('a search asks holders that connect meanwhile, and waits for others to the bound', async () => {
  const { origins, peers, timer, advance } = createOrigins({ hasDisk: false, holders: 0 });
  peers.areAllKnown = false;
  const found = follow(origins.find({ stream: 'a', pool: 'pool' }));
  const absent = follow(origins.find({ stream: 'b', pool: 'pool' }));
  await advance(100);
  assert.equal(found.value, 'pending');
  const holder = new FakeHolder('10.0.0.2:1', timer);
  await holder.log.append([createOrigin('a')]);
  peers.originHolders.push(holder);
  await advance(20);
  assert.equal(found.value, 'v1');
  assert.equal(absent.value, 'pending');
  await advance(SEARCH_BOUND_MS);
  assert.equal(absent.value, undefined);
  const searches = holder.received.filter(({ type }) => type === 'findOrigin');
  assert.equal(searches.length, 2, 'each search asks a holder once');
});

test('replies that are none are treated as failures', async () => {
  const { origins, peers, advance } = createOrigins({ hasDisk: false, holders: 2 });
  for (const reply of [null, 7, {}, ['other'], [], [['synced']]]) {
    for (const holder of peers.originHolders) {
      holder.call = async <Reply>() => ok(reply as Reply);
    }
    const outcome = follow(origins.record(createOrigin('a')));
    const found = follow(origins.find({ stream: 'x', pool: 'pool' }));
    await advance(RECORD_BOUND_MS);
    assert.equal(outcome.value, 'unavailable');
    assert.equal(found.value, undefined);
  }
});

test('a disposed instance leaves no record waiting', async () => {
  const { origins, peers, advance } = createOrigins();
  for (const holder of peers.originHolders) holder.isSilent = true;
  const sent = follow(origins.record(createOrigin('a')));
  await advance(COLLECT_MS);
  const collected = follow(origins.record(createOrigin('b')));
  origins[Symbol.dispose]();
  const late = follow(origins.record(createOrigin('c')));
  await advance(RECORD_BOUND_MS);
  assert.notEqual(sent.value, 'pending');
  assert.equal(collected.value, 'unavailable');
  assert.equal(late.value, 'unavailable');
});

test('the only version of a pool is found as long as an entry of it is kept', async () => {
  const { origins, advance } = createOrigins();
  const find = async (pool: string): Promise<unknown> => {
    const found = follow(origins.findOnlyVersion(pool));
    await advance(0);
    return found.value;
  };
  assert.equal(await find('pool'), undefined);
  origins.record({ ...createOrigin('a'), keepMs: 1000 });
  await advance(COLLECT_MS);
  assert.equal(await find('pool'), 'v1');
  assert.equal(await find('other'), undefined);
  origins.record({ ...createOrigin('b'), version: 'v2', keepMs: 5000 });
  await advance(COLLECT_MS);
  assert.equal(await find('pool'), undefined);
  await advance(1000);
  assert.equal(await find('pool'), 'v2');
});

// Guards against a version that only the disks know which have not replied.
test('no version is the only one while too few disks have replied', async () => {
  const { origins, peers, advance } = createOrigins({ hasDisk: false });
  origins.record(createOrigin('a'));
  await advance(COLLECT_MS);
  for (const [silent, expected] of [
    [0, 'v1'],
    [1, undefined],
    [2, undefined],
  ] as const) {
    peers.originHolders.forEach((holder, at) => Object.assign(holder, { isSilent: at < silent }));
    const found = follow(origins.findOnlyVersion('pool'));
    await advance(SEARCH_BOUND_MS);
    assert.equal(found.value, expected, `${silent} silent`);
  }
});

// Guards against a lost disk that counts as one on which no other version is known.
test('a disk that holds nothing of a pool does not tell its only version', async () => {
  const { origins, peers, advance } = createOrigins({ hasDisk: false });
  const [first] = peers.originHolders;
  first?.log.append([createOrigin('a')]);
  await advance(COLLECT_MS);
  const found = follow(origins.findOnlyVersion('pool'));
  await advance(SEARCH_BOUND_MS);
  assert.equal(found.value, undefined);
});
