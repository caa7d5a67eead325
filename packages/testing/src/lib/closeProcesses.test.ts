import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import { ChildProcess } from './ChildProcess';
import { closeProcesses } from './closeProcesses';

const LOG_LINE = '{"level":30,"event":1000,"name":"processStarted"}';

/** Creates a process that runs a script, and waits until it has ended; by itself if the script ends. */
async function run(t: TestContext, script: string): Promise<ChildProcess> {
  const directory = mkdtempSync(join(tmpdir(), 'berylwood-output-'));
  t.after(() => rmSync(directory, { recursive: true }));
  const log = join(directory, 'output.log');
  const args = ['-e', script];
  const child = new ChildProcess({ name: 'child', binary: process.execPath, args, log });
  child.start();
  await child.waitForExit();
  return child;
}

const printLine = (stream: 'stdout' | 'stderr', line: string): string =>
  `process.${stream}.write(${JSON.stringify(`${line}\n`)});`;

test('processes that write only log lines are closed', async (t) => {
  const child = await run(t, printLine('stdout', LOG_LINE) + printLine('stderr', LOG_LINE));
  await closeProcesses([child]);
});

// Guards against output that is looked for on one stream only.
for (const stream of ['stdout', 'stderr'] as const) {
  test(`a line on ${stream} that is no log line fails the close`, async (t) => {
    const script =
      printLine(stream, LOG_LINE) + printLine(stream, 'oh') + printLine(stream, LOG_LINE);
    const child = await run(t, script);
    await assert.rejects(closeProcesses([child]), /child: oh$/);
  });
}

test('a warning of Node.js fails the close', async (t) => {
  const child = await run(t, "process.emitWarning('a probe')");
  await assert.rejects(closeProcesses([child]), /child: \(node:\d+\) Warning: a probe/);
});

test('the stack trace of an exception fails the close', async (t) => {
  const child = await run(t, "throw new Error('a probe')");
  await assert.rejects(closeProcesses([child]), /child: Error: a probe/);
});

test('a line that a killed run has cut is followed by the log of the next run', async (t) => {
  const script = `process.stdout.write('{"level":3'); process.kill(process.pid, 'SIGKILL');`;
  const child = await run(t, script);
  child.start();
  await child.waitForExit();
  await closeProcesses([child]);
});

test('a line that a run has cut without being killed fails the close', async (t) => {
  const child = await run(t, `process.stdout.write('{"level":3')`);
  await assert.rejects(closeProcesses([child]), /child: \{"level":3$/);
});

test('an expected line is allowed once and must have been written', async (t) => {
  const child = await run(t, printLine('stderr', 'oh'));
  child.expectLine('oh');
  await closeProcesses([child]);
  child.expectLine('oh');
  await assert.rejects(closeProcesses([child]), /child: missing: oh$/);
  const twice = await run(t, printLine('stderr', 'oh') + printLine('stderr', 'oh'));
  twice.expectLine('oh');
  await assert.rejects(closeProcesses([twice]), /child: oh$/);
});
