import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { FakeFiles } from '../fixtures/FakeDisk';
import { createLog, createOrigin, findIn, settle } from '../fixtures/originLog';

test('a file cut at any byte keeps its whole frames, and is written on after them', async () => {
  const files = new FakeFiles();
  const { log } = createLog(files);
  const ends: number[] = [];
  for (const stream of ['a', 'b', 'c']) {
    await log.append([createOrigin(stream)]);
    ends.push(files.bytes);
  }
  const [[name, whole]] = [...files.files] as [[string, Buffer]];
  for (let length = 0; length <= whole.byteLength; length += 1) {
    const cut = new FakeFiles();
    cut.files.set(name, whole.subarray(0, length));
    const reopened = createLog(cut);
    await reopened.log.open();
    for (const [i, stream] of ['a', 'b', 'c'].entries()) {
      const expected = (ends[i] as number) <= length ? 'v1' : undefined;
      assert.equal(findIn(reopened.log, stream), expected, `${stream} at ${length}`);
    }
    assert.deepEqual(await reopened.log.append([createOrigin('d')]), ['synced']);
    const again = createLog(cut);
    await again.log.open();
    assert.equal(findIn(again.log, 'd'), 'v1');
    assert.deepEqual(again.events(), [], 'what was torn has been cut off');
  }
});

test('any damage to files is logged and skipped, and frames beside it are read', async () => {
  const files = new FakeFiles();
  const { log } = createLog(files);
  for (const stream of ['a', 'b', 'c']) await log.append([createOrigin(stream)]);
  const [[name, whole]] = [...files.files] as [[string, Buffer]];
  const frameBytes = whole.byteLength / 3;
  for (let offset = frameBytes; offset < 2 * frameBytes; offset += 1) {
    const damaged = new FakeFiles();
    const bytes = Buffer.from(whole);
    // eslint-disable-next-line no-bitwise -- flips one bit
    bytes[offset]! ^= 4;
    damaged.files.set(name, bytes);
    const reopened = createLog(damaged);
    await reopened.log.open();
    assert.deepEqual(
      ['a', 'b', 'c'].map((stream) => findIn(reopened.log, stream)),
      ['v1', undefined, 'v1'],
    );
    assert.deepEqual(reopened.events(), ['originFileDamaged']);
  }
});

test('any bytes in a file are skipped, and entries can be added', async () => {
  const property = fc.asyncProperty(fc.uint8Array({ maxLength: 200 }), async (bytes) => {
    const files = new FakeFiles();
    files.files.set('origins-000000000000001', Buffer.from(bytes));
    files.files.set('origins-x', Buffer.from(bytes));
    const { log } = createLog(files);
    await log.open();
    assert.deepEqual(await log.append([createOrigin('a')]), ['synced']);
    const reopened = createLog(files);
    await reopened.log.open();
    assert.equal(findIn(reopened.log, 'a'), 'v1');
  });
  await fc.assert(property, { seed: 40, numRuns: 100 });
});

test('entries are read later if the disk fails at the start', async () => {
  const files = new FakeFiles();
  await createLog(files).log.append([createOrigin('a')]);
  files.error = new Error('EIO');
  const { log, timer } = createLog(files);
  await log.open();
  assert.equal(await log.search({ stream: 'a', pool: 'pool' }), undefined);
  files.error = undefined;
  timer.advance(300);
  assert.equal(await log.search({ stream: 'a', pool: 'pool' }), 'v1');
});

test('a search waits until the entries on disk have been read', async () => {
  const files = new FakeFiles();
  await createLog(files).log.append([createOrigin('a')]);
  files.setStalled(true);
  const { log } = createLog(files);
  log.open();
  assert.equal(findIn(log, 'a'), undefined);
  const search = log.search({ stream: 'a', pool: 'pool' });
  await settle();
  const laterSearch = log.search({ stream: 'a', pool: 'pool' });
  await settle();
  files.setStalled(false);
  assert.equal(await search, 'v1');
  assert.equal(await laterSearch, 'v1');
});

test('an entry that comes while the disk is read is written after it', async () => {
  const files = new FakeFiles();
  await createLog(files).log.append([createOrigin('a')]);
  files.setStalled(true);
  const { log } = createLog(files);
  log.open();
  await settle();
  const { appends } = files;
  const append = log.append([createOrigin('b')]);
  await settle();
  assert.equal(files.appends, appends);
  files.setStalled(false);
  assert.deepEqual(await append, ['synced']);
  assert.equal(log.bytes, files.bytes);
  const reopened = createLog(files);
  await reopened.log.open();
  assert.equal(findIn(reopened.log, 'a'), 'v1');
  assert.equal(findIn(reopened.log, 'b'), 'v1');
});
