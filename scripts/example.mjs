/**
 * Starts or stops all processes of an example under examples/, each with its own settings file:
 * `node scripts/example.mjs start|stop NAME`. The first start creates a key for each workspace and
 * writes the keys to data/NAME/keys.json, which `berylwood load` reads.
 */
import { execFileSync, spawn, spawnSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

const BINARY = 'build/berylwood';
const POLL_MS = 100;
const START_LIMIT_MS = 60_000;
const STOP_LIMIT_MS = 130_000;

const [, , command, name = ''] = process.argv;
const directory = join('examples', name);
const data = join('data', name);
const pidFile = join(data, 'pids.json');
const keyFile = join(data, 'keys.json');

function fail(message) {
  console.error(message);
  process.exit(2);
}

function readSettingsTexts() {
  const files = readdirSync(join(directory, 'settings')).sort();
  return files.map((file) => readFileSync(join(directory, 'settings', file), 'utf8'));
}

/** Returns the value of a field in a TOML table from each settings file that sets it. */
function valuesOf(table, field) {
  const pattern = new RegExp(`^\\[${table}\\][^[]*?^${field} = "([^"]+)"`, 'm');
  return readSettingsTexts().flatMap((text) => pattern.exec(text)?.[1] ?? []);
}

async function waitUntil(what, limitMs, condition) {
  const deadline = Date.now() + limitMs;
  while (!(await condition())) {
    if (Date.now() > deadline)
      throw new Error(`timed out after ${limitMs} ms waiting until ${what}`);
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
}

async function isReady(address) {
  try {
    return (await fetch(`http://${address}/readyz`)).ok;
  } catch {
    return false;
  }
}

function isRunning(pid) {
  try {
    return process.kill(pid, 0);
  } catch {
    return false;
  }
}

function runOperatorCommand(...args) {
  const control = valuesOf('control', 'operator').join(',');
  return execFileSync(BINARY, [...args, '--control', control, '--json'], { encoding: 'utf8' });
}

function giveKeys() {
  const customers = readFileSync(join(directory, 'customers.toml'), 'utf8');
  const workspaces = [...customers.matchAll(/^\[customers\.(.+)\]$/gm)].map(([, found]) => found);
  const keys = workspaces.map((workspace) => [
    workspace,
    JSON.parse(runOperatorCommand('keys', 'give', workspace)),
  ]);
  writeFileSync(keyFile, JSON.stringify(Object.fromEntries(keys), null, 2), { mode: 0o600 });
}

async function start() {
  if (existsSync(pidFile)) fail(`${pidFile} exists: stop the example first`);
  if (!existsSync(BINARY)) spawnSync(process.execPath, ['scripts/build.mjs'], { stdio: 'inherit' });
  for (const path of [data, ...valuesOf('control', 'data')]) mkdirSync(path, { recursive: true });
  const pids = readdirSync(join(directory, 'settings')).map((file) => {
    const args = ['run', '--settings', join(directory, 'settings', file)];
    const child = spawn(BINARY, args, { detached: true, stdio: 'ignore' });
    child.unref();
    return child.pid;
  });
  writeFileSync(pidFile, JSON.stringify(pids));
  const entries = valuesOf('entry', 'listen');
  await waitUntil('all entries are ready', START_LIMIT_MS, async () =>
    (await Promise.all(entries.map(isReady))).every(Boolean),
  );
  if (!existsSync(keyFile)) giveKeys();
  console.log(
    `${pids.length} processes are running; entries: ${entries.join(', ')}; keys: ${keyFile}`,
  );
}

async function stop() {
  if (!existsSync(pidFile)) fail(`${name} is not running`);
  const pids = JSON.parse(readFileSync(pidFile, 'utf8'));
  for (const pid of pids.filter(isRunning)) process.kill(pid, 'SIGTERM');
  await waitUntil('all processes have ended', STOP_LIMIT_MS, () => !pids.some(isRunning));
  rmSync(pidFile);
  console.log(`${pids.length} processes stopped`);
}

if (!existsSync(join(directory, 'settings')))
  fail('usage: example.mjs start|stop chimney-lane|o-fearghail');
if (command === 'start') await start();
else if (command === 'stop') await stop();
else fail('usage: example.mjs start|stop NAME');
