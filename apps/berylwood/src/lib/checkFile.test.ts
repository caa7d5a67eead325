import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import { checkFile } from './checkFile';

const SCENARIO = 'examples/chimney-lane/morning-dispatch.toml';

/** Writes a copy of the scenario in which `from` is replaced by `to`, and returns its path. */
function writeScenario(context: TestContext, from: string, to: string): string {
  const directory = mkdtempSync(join(tmpdir(), 'berylwood-check-'));
  context.after(() => rmSync(directory, { recursive: true }));
  const file = join(directory, 'scenario.toml');
  const text = readFileSync(SCENARIO, 'utf8');
  assert.ok(text.includes(from));
  writeFileSync(file, text.replace(from, to));
  return file;
}

test('a load scenario is checked against its own schema, not that of a list of plans', () => {
  assert.deepEqual(checkFile(SCENARIO), []);
});

test('a misspelt field of a load scenario is reported with its line and a suggestion', (context) => {
  const file = writeScenario(context, 'requests_per_second', 'request_per_second');
  const problems = checkFile(file).join('\n');
  assert.match(problems, /:7: .*request_per_second.*did you mean "requests_per_second"/);
});

test('a class of a load scenario must not have both a model and a path', (context) => {
  const file = writeScenario(
    context,
    'path = "/bookings"',
    'path = "/bookings"\nmodel = "crew-8b"',
  );
  assert.match(checkFile(file).join('\n'), /expected either "model" or "path"/);
});
