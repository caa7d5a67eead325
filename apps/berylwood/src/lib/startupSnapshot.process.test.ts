import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, afterEach, before, test } from 'node:test';
import { SETTINGS_VARIABLE } from '@berylwood/platform';
import { ChildProcess, closeProcesses, until } from '@berylwood/testing';

const directory = mkdtempSync(join(tmpdir(), 'berylwood-snapshot-'));
const settings = join(directory, 'settings.toml');

/** Processes that the current test has started. */
const gateways: ChildProcess[] = [];

/** Settings of a gateway whose ports the kernel chooses. */
const SETTINGS = `
[process]
name = "snapshot"
[log]
output = true
[admin]
listen = "127.0.0.1:0"
[gateway]
instance = "snapshot"
ip = "127.0.0.1"
data_centre = "a"
callers = "127.0.0.1:0"
readiness = "127.0.0.1:0"
operators = "127.0.0.1:0"
mesh_port = 0
grace_s = 1
`;

/** Flags of V8 in a command of the deploy file. */
function flagsOf(command: 'build' | 'run'): string[] {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const line = new RegExp(`^${command} = "(.*)"$`, 'm').exec(text)?.[1] ?? '';
  return line.match(/--max-\S+/g) ?? [];
}

before(() => {
  execFileSync(process.execPath, [
    'scripts/bundle.mjs',
    directory,
    '--gateway',
    ...flagsOf('build'),
  ]);
  writeFileSync(settings, SETTINGS);
});

afterEach(() => closeProcesses(gateways.splice(0)));

after(() => rmSync(directory, { recursive: true }));

/** Starts a gateway from the snapshot and resolves with its incarnation once it has started. */
async function startGateway(name: string) {
  const log = join(directory, `${name}.log`);
  const child = new ChildProcess({
    name,
    binary: process.execPath,
    args: ['--snapshot-blob', join(directory, 'gateway.blob'), ...flagsOf('run')],
    env: { [SETTINGS_VARIABLE]: settings },
    log,
  });
  gateways.push(child);
  child.start();
  const readLog = (): string => readFileSync(log, 'utf8');
  await until('the gateway has started', () => readLog().includes('processStarted'));
  const incarnation = /"incarnation":"([^"]+)"/.exec(readLog())?.[1];
  return { child, incarnation };
}

test('the deploy file builds and runs the snapshot with the same flags', () => {
  assert.ok(flagsOf('run').length > 0);
  assert.deepEqual(flagsOf('build'), flagsOf('run'));
});

test('a gateway starts from its snapshot, survives SIGHUP and stops on SIGTERM', async () => {
  const { child } = await startGateway('stopped');
  child.signal('SIGHUP');
  assert.equal((await child.stop())?.code, 0);
});

test('two starts from one snapshot are different incarnations', async () => {
  const first = await startGateway('first');
  const second = await startGateway('second');
  assert.ok(first.incarnation && second.incarnation);
  assert.notEqual(first.incarnation, second.incarnation);
});
