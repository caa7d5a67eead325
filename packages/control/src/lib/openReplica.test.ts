import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { checkDataFolder } from './openReplica';

test('a data folder must exist and be a folder; a missing one is not created', (context) => {
  const folder = mkdtempSync(join(tmpdir(), 'berylwood-data-'));
  context.after(() => rmSync(folder, { recursive: true }));
  const missing = join(folder, 'missing');
  const file = join(folder, 'file');
  writeFileSync(file, '');
  assert.ok(checkDataFolder(folder).isOk());
  for (const path of [missing, file, missing]) {
    const error = checkDataFolder(path)._unsafeUnwrapErr();
    assert.equal(error.code.name, 'dataFolderUnusable');
    assert.match(error.message, /^data folder [^\n]+$/);
  }
});
