import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type TestContext } from 'node:test';
import { FileDisk } from './FileDisk';

async function createDirectory(t: TestContext): Promise<string> {
  const directory = await mkdtemp(join(tmpdir(), 'consensus-'));
  t.after(() => rm(directory, { recursive: true }));
  return directory;
}

test('keeps appended, replaced and truncated content after reopening', async (t) => {
  const directory = await createDirectory(t);
  const disk = await FileDisk.open(join(directory, 'data'));
  await disk.append('log-1', Buffer.from('abc'));
  await disk.append('log-1', Buffer.from('def'));
  await disk.replace('state', Buffer.from('old'));
  await disk.replace('state', Buffer.from('new'));
  await disk.append('log-2', Buffer.from('x'));
  await disk.truncate('log-1', 4);
  await disk.append('log-1', Buffer.from('!'));
  await disk.remove('log-2');
  await disk.remove('log-2');
  await disk.close();
  const reopened = await FileDisk.open(join(directory, 'data'));
  assert.deepEqual(await reopened.list(), ['log-1', 'state']);
  assert.equal(Buffer.from(await reopened.read('log-1')).toString(), 'abcd!');
  assert.equal(Buffer.from(await reopened.read('state')).toString(), 'new');
  await reopened.close();
});

test('removes the temporary file of an interrupted replacement', async (t) => {
  const directory = await createDirectory(t);
  await writeFile(join(directory, 'state.tmp'), 'half');
  const disk = await FileDisk.open(directory);
  assert.deepEqual(await disk.list(), []);
  await disk.close();
});
