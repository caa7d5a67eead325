import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { VirtualTimer, createSilentJournal } from '@berylwood/base';
import { FileDisk } from '@berylwood/consensus';
import fc from 'fast-check';
import { FakeFiles } from '../fixtures/FakeDisk';
import { KEEP_MS, createLog, createOrigin, findIn, settle } from '../fixtures/originLog';
import { StreamOriginLog } from './StreamOriginLog';

/** Most bytes on disk. */
const TOTAL_BYTES = 4 * 1024 * 1024;

const createStreams = (first: number, count: number): string[] =>
  Array.from({ length: count }, (_, i) => `stream ${first + i}`);

test('an entry is found after the log is opened again', async () => {
  const files = new FakeFiles();
  const { log } = createLog(files);
  await log.open();
  assert.deepEqual(await log.append([createOrigin('a'), createOrigin('b', 'v2')]), [
    'synced',
    'synced',
  ]);
  const reopened = createLog(files);
  await reopened.log.open();
  assert.equal(findIn(reopened.log, 'a'), 'v1');
  assert.equal(findIn(reopened.log, 'b'), 'v2');
  assert.equal(findIn(reopened.log, 'c'), undefined);
  assert.equal(reopened.log.find({ stream: 'a', pool: 'other' }), undefined);
  assert.deepEqual(reopened.events(), []);
});

test('an entry in files is found after the log is opened again', async () => {
  const directory = await mkdtemp(join(tmpdir(), 'origins-'));
  const timer = new VirtualTimer();
  const journal = createSilentJournal(timer);
  const openDisk = () => FileDisk.open(join(directory, 'origins'));
  try {
    for (const stream of ['a', 'b']) {
      const log = new StreamOriginLog({ openDisk, timer, journal });
      await log.open();
      assert.deepEqual(await log.append([createOrigin(stream)]), ['synced']);
      log[Symbol.dispose]();
    }
    const log = new StreamOriginLog({ openDisk, timer, journal });
    await log.open();
    assert.equal(findIn(log, 'a'), 'v1');
    assert.equal(findIn(log, 'b'), 'v1');
    log[Symbol.dispose]();
    assert.deepEqual(journal.recent(), []);
  } finally {
    await rm(directory, { recursive: true });
  }
});

test('the first version of a stream stays', async () => {
  const files = new FakeFiles();
  const { log } = createLog(files);
  await log.append([createOrigin('a', 'v1')]);
  const again = await log.append([createOrigin('a', 'v2'), createOrigin('a', 'v1')]);
  assert.deepEqual(again, ['conflict', 'synced']);
  assert.deepEqual(await log.append([createOrigin('b', 'v2'), createOrigin('b', 'v3')]), [
    'synced',
    'conflict',
  ]);
  const reopened = createLog(files);
  await reopened.log.open();
  assert.deepEqual(await reopened.log.append([createOrigin('a', 'v2')]), ['conflict']);
  assert.equal(findIn(reopened.log, 'a'), 'v1');
  assert.equal(findIn(reopened.log, 'b'), 'v2');
});

test('calls that come during a write share the next one', async () => {
  const files = new FakeFiles();
  const { log } = createLog(files);
  await log.open();
  files.setStalled(true);
  const first = log.append([createOrigin('first')]);
  await settle();
  const others = Array.from({ length: 50 }, (_, i) => log.append([createOrigin(`other ${i}`)]));
  await settle();
  assert.equal(files.appends, 1);
  files.setStalled(false);
  assert.deepEqual((await Promise.all([first, ...others])).flat(), Array(51).fill('synced'));
  assert.equal(files.appends, 2);
  assert.equal(log.syncs, 2);
});

test('what is reported as synced is found whatever a loss of power leaves after it', async () => {
  const batches = fc.array(fc.nat(3), { minLength: 1, maxLength: 12 });
  const tear = fc.record({ keep: fc.double({ min: 0, max: 1, noNaN: true }), flip: fc.nat() });
  const isFlipped = fc.boolean();
  const property = fc.asyncProperty(
    batches,
    tear,
    isFlipped,
    async (sizes, { keep, flip }, flipped) => {
      const files = new FakeFiles();
      const synced: string[] = [];
      let count = 0;
      // Two losses of power, with entries after the first one that go into the same file.
      for (let life = 0; life < 2; life += 1) {
        const { log } = createLog(files);
        await log.open();
        for (const size of sizes) {
          const streams = createStreams(count, size + 1);
          count += streams.length;
          const outcomes = await log.append(streams.map((stream) => createOrigin(stream)));
          synced.push(...streams.filter((_, i) => outcomes[i] === 'synced'));
        }
        files.setStalled(true);
        let interrupted = 'pending';
        log.append([createOrigin(`unsynced ${life}`)]).then(([outcome = '']) => {
          interrupted = outcome;
        });
        await settle();
        assert.equal(interrupted, 'pending');
        files.crash((bytes) => {
          const part = Buffer.from(bytes.subarray(0, Math.round(keep * bytes.byteLength)));
          // eslint-disable-next-line no-bitwise -- flips one bit
          if (flipped && part.byteLength > 0) part[flip % part.byteLength]! ^= 1 << (flip % 8);
          return part;
        });
      }
      const { log } = createLog(files);
      await log.open();
      assert.equal(synced.length, count);
      for (const stream of synced) assert.equal(findIn(log, stream), 'v1');
    },
  );
  await fc.assert(property, { seed: 39, numRuns: 100 });
});

test('a file that can not be read is logged, and new entries go into another one', async () => {
  const files = new FakeFiles();
  const { log } = createLog(files);
  await log.append([createOrigin('a')]);
  const [name = ''] = files.files.keys();
  files.unreadable.add(name);
  const reopened = createLog(files);
  await reopened.log.open();
  assert.deepEqual(reopened.events(), ['originFileDamaged']);
  assert.deepEqual(await reopened.log.append([createOrigin('b')]), ['synced']);
  files.unreadable.clear();
  const last = createLog(files);
  await last.log.open();
  assert.equal(findIn(last.log, 'a'), 'v1');
  assert.equal(findIn(last.log, 'b'), 'v1');
});

test('a stalled disk neither blocks lookups nor gathers work, and is used again later', async () => {
  const files = new FakeFiles();
  const { log, timer, events } = createLog(files);
  await log.open();
  files.setStalled(true);
  const first = log.append([createOrigin('first')]);
  await settle();
  const outcomes = new Map<string, string>();
  const appendInBackground = (count: number, prefix: string): void => {
    for (let i = 0; i < count; i += 1) {
      const stream = `${prefix} ${i}`;
      log.append([createOrigin(stream)]).then(([outcome]) => outcomes.set(stream, outcome ?? ''));
    }
  };
  appendInBackground(10_000, 'early');
  await settle();
  assert.equal(findIn(log, 'early 9999'), 'v1');
  assert.equal(outcomes.size, 10_000 - 4096, 'those beyond the bound have been refused');
  timer.advance(300);
  appendInBackground(10, 'late');
  await settle();
  assert.equal(outcomes.get('late 9'), 'held');
  assert.equal(findIn(log, 'late 9'), 'v1');
  assert.deepEqual(events(), ['originDiskFailed']);
  files.setStalled(false);
  assert.deepEqual(await first, ['synced']);
  await settle();
  assert.equal(outcomes.get('early 0'), 'synced');
  assert.equal(files.appends, 2);
  timer.advance(10_000);
  assert.deepEqual(await log.append([createOrigin('late 0')]), ['synced']);
  assert.deepEqual(events(), ['originDiskFailed', 'originDiskRecovered']);
});

test('a full disk leaves entries in memory, and is used again once it has room', async () => {
  const files = new FakeFiles();
  const { log, timer, events } = createLog(files);
  await log.append([createOrigin('before')]);
  files.error = new Error('ENOSPC');
  assert.deepEqual(await log.append([createOrigin('a')]), ['held']);
  assert.equal(findIn(log, 'a'), 'v1');
  const { operations } = files;
  for (let i = 0; i < 100; i += 1) {
    assert.deepEqual(await log.append([createOrigin(`b ${i}`)]), ['held']);
  }
  assert.equal(files.operations, operations, 'no write is tried until some time has passed');
  files.error = undefined;
  timer.advance(300);
  assert.deepEqual(await log.append([createOrigin('a'), createOrigin('c')]), ['synced', 'synced']);
  const reopened = createLog(files);
  await reopened.log.open();
  for (const stream of ['before', 'a', 'c']) assert.equal(findIn(reopened.log, stream), 'v1');
  assert.deepEqual(reopened.events(), [], 'what the failed write left has been cut off');
  timer.advance(10_000);
  await log.append([createOrigin('d')]);
  assert.deepEqual(events(), ['originDiskFailed', 'originDiskRecovered']);
});

test('a disk that works again is used again although entries kept coming', async () => {
  const files = new FakeFiles();
  const { log, timer } = createLog(files);
  files.error = new Error('ENOSPC');
  const outcomes: (string | undefined)[] = [];
  for (let i = 0; i < 100; i += 1) {
    if (i === 20) files.error = undefined;
    outcomes.push((await log.append([createOrigin(`a ${i}`)]))[0]);
    timer.advance(10);
  }
  assert.equal(outcomes.at(-1), 'synced');
  assert.ok(outcomes.indexOf('synced') <= 50, `first synced: ${outcomes.indexOf('synced')}`);
});

test('without a disk, entries are held in memory', async () => {
  const { log, events } = createLog(undefined);
  await log.open();
  assert.equal(log.isDurable, false);
  assert.deepEqual(await log.append([createOrigin('a')]), ['held']);
  assert.equal(await log.search({ stream: 'a', pool: 'pool' }), 'v1');
  assert.deepEqual(events(), []);
});

test('disk and memory are bounded, and the oldest entries go first', async () => {
  const files = new FakeFiles();
  const { log } = createLog(files);
  const total = 150_000;
  const perCall = 500;
  for (let start = 0; start < total; start += perCall) {
    const streams = Array.from({ length: perCall }, (_, i) =>
      `stream-${start + i}`.padEnd(36, 'x'),
    );
    await log.append(streams.map((stream) => createOrigin(stream)));
    assert.ok(files.bytes <= TOTAL_BYTES, `${files.bytes} bytes`);
    await settle();
    assert.equal(files.bytes, log.bytes);
  }
  assert.equal(log.size, 100_000);
  assert.equal(findIn(log, 'stream-0'.padEnd(36, 'x')), undefined);
  assert.equal(findIn(log, `stream-${total - 1}`.padEnd(36, 'x')), 'v1');
  const reopened = createLog(files);
  await reopened.log.open();
  assert.equal(findIn(reopened.log, `stream-${total - 1}`.padEnd(36, 'x')), 'v1');
});

test('files whose entries have expired are removed', async () => {
  const files = new FakeFiles();
  const { log, timer } = createLog(files);
  const fill = async (prefix: string): Promise<void> => {
    for (let start = 0; start < 12_000; start += 500) {
      const streams = Array.from({ length: 500 }, (_, i) =>
        `${prefix}-${start + i}`.padEnd(36, 'x'),
      );
      await log.append(streams.map((stream) => createOrigin(stream)));
    }
  };
  await fill('a');
  assert.ok(files.files.size > 1);
  timer.advance(KEEP_MS + 1);
  await fill('b');
  await fill('c');
  const reopened = createLog(files);
  await reopened.log.open();
  assert.equal(findIn(reopened.log, 'a-0'.padEnd(36, 'x')), undefined);
  assert.equal(findIn(reopened.log, 'b-0'.padEnd(36, 'x')), 'v1');
  assert.ok(log.size <= 24_000);
});

test('an entry expires by the monotonic clock, and not early if wall clocks jump', async () => {
  const files = new FakeFiles();
  const { log, timer } = createLog(files, new VirtualTimer(1_000_000));
  await log.append([createOrigin('a')]);
  timer.advance(KEEP_MS - 1);
  assert.equal(findIn(log, 'a'), 'v1');
  for (const jumpMs of [-10_000, 10_000, 3_600_000]) {
    const reopened = createLog(files, new VirtualTimer(1_000_000 + KEEP_MS + jumpMs));
    await reopened.log.open();
    assert.equal(findIn(reopened.log, 'a'), 'v1');
    reopened.timer.advance(KEEP_MS - 1);
    assert.equal(findIn(reopened.log, 'a'), 'v1');
    reopened.timer.advance(1);
    assert.equal(findIn(reopened.log, 'a'), undefined);
  }
  timer.advance(1);
  assert.equal(findIn(log, 'a'), undefined);
});

test('an operation under way when the log is disposed ends without an error', async () => {
  const files = new FakeFiles();
  const { log } = createLog(files);
  await log.open();
  files.setStalled(true);
  const first = log.append([createOrigin('a')]);
  await settle();
  const second = log.append([createOrigin('b')]);
  log[Symbol.dispose]();
  assert.deepEqual(await second, ['held']);
  files.setStalled(false);
  assert.deepEqual(await first, ['synced']);
  assert.deepEqual(await log.append([createOrigin('c')]), ['held']);
});
