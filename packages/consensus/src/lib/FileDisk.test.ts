import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type TestContext } from 'node:test';
import { FileDisk } from './FileDisk';

async function createFolder(t: TestContext): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'consensus-'));
  t.after(() => rm(folder, { recursive: true }));
  return folder;
}

test('keeps what was appended, replaced and cut', async (t) => {
  const folder = await createFolder(t);
  const disk = await FileDisk.open(join(folder, 'data'));
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
  const again = await FileDisk.open(join(folder, 'data'));
  assert.deepEqual(await again.list(), ['log-1', 'state']);
  assert.equal(Buffer.from(await again.read('log-1')).toString(), 'abcd!');
  assert.equal(Buffer.from(await again.read('state')).toString(), 'new');
  await again.close();
});

test('removes what an interrupted replacement has left', async (t) => {
  const folder = await createFolder(t);
  await writeFile(join(folder, 'state.tmp'), 'half');
  const disk = await FileDisk.open(folder);
  assert.deepEqual(await disk.list(), []);
  await disk.close();
});
