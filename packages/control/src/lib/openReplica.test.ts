import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { checkDataDirectory } from './openReplica';

test('a data directory must exist and be a directory; a missing one is not created', (context) => {
  const directory = mkdtempSync(join(tmpdir(), 'berylwood-data-'));
  context.after(() => rmSync(directory, { recursive: true }));
  const missing = join(directory, 'missing');
  const file = join(directory, 'file');
  writeFileSync(file, '');
  assert.ok(checkDataDirectory(directory).isOk());
  for (const path of [missing, file, missing]) {
    const error = checkDataDirectory(path)._unsafeUnwrapErr();
    assert.equal(error.code.name, 'dataFolderUnusable');
    assert.match(error.message, /^data folder [^\n]+$/);
  }
});
