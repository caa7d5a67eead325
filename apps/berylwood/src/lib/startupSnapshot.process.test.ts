import assert from 'node:assert/strict';
import { execFileSync, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test, type TestContext } from 'node:test';
import { SETTINGS_VARIABLE } from '@berylwood/platform';

const directory = mkdtempSync(join(tmpdir(), 'berylwood-snapshot-'));
const settings = join(directory, 'settings.toml');

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

after(() => rmSync(directory, { recursive: true }));

/** Starts a gateway from the snapshot and resolves with its incarnation once it has started. */
async function startGateway(t: TestContext) {
  const blob = join(directory, 'gateway.blob');
  const child = spawn(process.execPath, ['--snapshot-blob', blob, ...flagsOf('run')], {
    env: { ...process.env, [SETTINGS_VARIABLE]: settings },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  t.after(() => child.kill('SIGKILL'));
  let log = '';
  for await (const chunk of child.stdout) {
    log += String(chunk);
    if (log.includes('processStarted')) break;
  }
  const incarnation = /"incarnation":"([^"]+)"/.exec(log)?.[1];
  assert.ok(incarnation, 'the gateway did not start');
  return { child, incarnation };
}

test('the deploy file builds and runs the snapshot with the same flags', () => {
  assert.ok(flagsOf('run').length > 0);
  assert.deepEqual(flagsOf('build'), flagsOf('run'));
});

test('a gateway starts from its snapshot, survives SIGHUP and stops on SIGTERM', async (t) => {
  const { child } = await startGateway(t);
  child.kill('SIGHUP');
  child.kill('SIGTERM');
  const [code] = (await once(child, 'exit')) as [number | null];
  assert.equal(code, 0);
});

test('two starts from one snapshot are different incarnations', async (t) => {
  const first = await startGateway(t);
  const second = await startGateway(t);
  assert.notEqual(first.incarnation, second.incarnation);
});
