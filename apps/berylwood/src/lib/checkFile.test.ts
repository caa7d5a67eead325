import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import { checkFile } from './checkFile';

const SCENARIO = 'examples/chimney-lane/morning-dispatch.toml';

/** Writes the scenario with one text replaced. */
function writeScenario(context: TestContext, from: string, to: string): string {
  const directory = mkdtempSync(join(tmpdir(), 'berylwood-check-'));
  context.after(() => rmSync(directory, { recursive: true }));
  const file = join(directory, 'scenario.toml');
  const text = readFileSync(SCENARIO, 'utf8');
  assert.ok(text.includes(from));
  writeFileSync(file, text.replace(from, to));
  return file;
}

test('a load scenario is checked as one, not as a list of plans', () => {
  assert.deepEqual(checkFile(SCENARIO), []);
});

test('a misspelt field of a load scenario is named with its line and the nearest name', (context) => {
  const file = writeScenario(context, 'requests_per_second', 'request_per_second');
  const problems = checkFile(file).join('\n');
  assert.match(problems, /:7: .*request_per_second.*did you mean "requests_per_second"/);
});

test('a class of a load scenario calls either a model or a path', (context) => {
  const file = writeScenario(
    context,
    'path = "/bookings"',
    'path = "/bookings"\nmodel = "crew-8b"',
  );
  assert.match(checkFile(file).join('\n'), /expected either "model" or "path"/);
});
