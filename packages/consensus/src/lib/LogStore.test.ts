import assert from 'node:assert/strict';
import { join } from 'node:path';
import test from 'node:test';
import { Random, VirtualTimer } from '@berylwood/base';
import fc from 'fast-check';
import { drain } from '../simulation/SimulatedCluster';
import { SimulatedDisk } from '../simulation/SimulatedDisk';
import { EntryKind, type Entry } from './Entry';
import { FileDisk } from './FileDisk';
import { LogStore } from './LogStore';
import { recover } from './recover';

const LIMITS = { segmentBytes: 600, syncBytes: 300, trailingEntries: 2 };
const VERSION_1 = join(import.meta.dirname, '../../testdata/version-1');
const NO_MEMBERS = { members: [], admitted: [] };

function createEntries(from: number, to: number, term: number): Entry[] {
  return Array.from({ length: to - from + 1 }, (_, i) => ({
    index: from + i,
    term,
    kind: EntryKind.Command,
    data: new Uint8Array(Buffer.from(`command ${from + i} of term ${term}`)),
  }));
}

function createDisk(seed = 1) {
  const timer = new VirtualTimer();
  const disk = new SimulatedDisk(timer, new Random(seed));
  const runTimers = async (): Promise<void> => {
    await drain();
    while (timer.nextAt !== undefined) {
      timer.advance(timer.nextAt - timer.now());
      await drain();
    }
  };
  return { disk, timer, runTimers };
}

async function open(disk: SimulatedDisk): Promise<LogStore> {
  return new LogStore(disk, (await recover(disk))._unsafeUnwrap(), LIMITS);
}

test('synced entries survive a crash at any time', async () => {
  const property = fc.asyncProperty(fc.integer(), fc.nat(60), async (seed, crashMs) => {
    const { disk, timer, runTimers } = createDisk(seed);
    const random = new Random(seed);
    const store = await open(disk);
    for (let index = 1; timer.now() < crashMs; index += 2) {
      store.append(createEntries(index, index + 1, 1));
      await drain();
      timer.advance(random.below(4) + 1);
      await drain();
    }
    const synced = store.syncedIndex;
    disk.crash();
    const recovering = recover(disk);
    await runTimers();
    const { entries } = (await recovering)._unsafeUnwrap();
    assert.ok(entries.length >= synced);
    assert.deepEqual(entries, createEntries(1, entries.length, 1));
  });
  await fc.assert(property, { seed: 7, numRuns: 200 });
});

test('a log truncated at any byte keeps its complete frames', async () => {
  const { disk, runTimers } = createDisk();
  const store = await open(disk);
  for (let index = 1; index <= 4; index += 1) {
    store.append(createEntries(index, index, 1));
    await runTimers();
  }
  const [name = ''] = (await disk.list()).slice(-1);
  const original = await disk.read(name);
  for (let length = original.byteLength; length >= 0; length -= 7) {
    const truncated = createDisk();
    const writing = truncated.disk.replace(name, original.subarray(0, length));
    await truncated.runTimers();
    await writing;
    const recovering = recover(truncated.disk);
    await truncated.runTimers();
    const { entries, truncatedBytes } = (await recovering)._unsafeUnwrap();
    assert.deepEqual(entries, createEntries(1, entries.length, 1));
    assert.equal((await truncated.disk.read(name)).byteLength, length - truncatedBytes);
  }
});

test('a flipped bit before later synced data is reported as damage', async () => {
  const property = fc.asyncProperty(fc.integer(), async (seed) => {
    const { disk, runTimers } = createDisk(seed);
    const store = await open(disk);
    for (let index = 1; index <= 9; index += 1) {
      store.append(createEntries(index, index, 1));
      await runTimers();
    }
    assert.ok(disk.flip());
    const recovered = await recover(disk);
    assert.equal(recovered._unsafeUnwrapErr().code.name, 'logDamaged');
  });
  await fc.assert(property, { seed: 3, numRuns: 100 });
});

test('entries of a newer term replace the old ones, also after a restart', async () => {
  const { disk, runTimers } = createDisk();
  const store = await open(disk);
  store.append(createEntries(1, 9, 1));
  await runTimers();
  store.append(createEntries(4, 5, 2));
  assert.equal(store.syncedIndex, 3);
  await runTimers();
  assert.equal(store.syncedIndex, 5);
  const { entries } = (await recover(disk))._unsafeUnwrap();
  assert.deepEqual(entries, [...createEntries(1, 3, 1), ...createEntries(4, 5, 2)]);
});

test('a snapshot removes the segments it covers and keeps trailing entries in memory', async () => {
  const { disk, runTimers } = createDisk();
  const store = await open(disk);
  for (let index = 1; index <= 40; index += 1) {
    store.append(createEntries(index, index, 1));
    await runTimers();
  }
  const fileCountBefore = (await disk.list()).length;
  const state = Buffer.from('state');
  store.compact({ index: 38, term: 1, membership: NO_MEMBERS, state }).catch(assert.fail);
  await runTimers();
  assert.ok((await disk.list()).length < fileCountBefore);
  assert.equal(store.firstIndex, 37);
  const { entries, snapshot } = (await recover(disk))._unsafeUnwrap();
  assert.deepEqual(entries, createEntries(39, 40, 1));
  assert.equal(Buffer.from(snapshot?.state ?? '').toString(), 'state');
});

test('an installed snapshot replaces the log, also after a restart', async () => {
  const { disk, runTimers } = createDisk();
  const store = await open(disk);
  store.append(createEntries(1, 30, 1));
  await runTimers();
  const state = Buffer.from('state');
  store.install({ index: 20, term: 2, membership: NO_MEMBERS, state }).catch(assert.fail);
  await runTimers();
  const opening = open(disk);
  await runTimers();
  const reopened = await opening;
  assert.equal(reopened.lastIndex, 20);
  reopened.append(createEntries(21, 22, 2));
  await runTimers();
  const { entries } = (await recover(disk))._unsafeUnwrap();
  assert.deepEqual(entries, createEntries(21, 22, 2));
});

test('files of version 1 can be read', async () => {
  const disk = await FileDisk.open(VERSION_1);
  const recovered = (await recover(disk))._unsafeUnwrap();
  assert.equal(recovered.identity?.replica, 'north');
  assert.equal(recovered.state.term, 2);
  assert.equal(recovered.snapshot?.index, 3);
  assert.deepEqual(recovered.entries, createEntries(4, 6, 2));
  await disk.close();
});
