/**
 * Starts all roles in one process with stand-in endpoints and the settings in examples/quickstart, and
 * prints a command that sends a request. Installs dependencies and builds the binary if missing.
 */
import { spawn, spawnSync } from 'node:child_process';
import { existsSync, mkdirSync } from 'node:fs';

const BINARY = 'build/berylwood';
const ENTRY = 'http://127.0.0.1:8080';
const KEY = 'bw-quickstart-demonstration-key';
const POLL_MS = 50;
const START_LIMIT_MS = 20_000;

function step(command, args) {
  const { status } = spawnSync(command, args, { stdio: 'inherit' });
  if (status !== 0) process.exit(status ?? 1);
}

async function isReady() {
  try {
    return (await fetch(`${ENTRY}/readyz`)).ok;
  } catch {
    return false;
  }
}

if (!existsSync('node_modules/esbuild')) step('npm', ['ci', '--no-audit', '--no-fund']);
if (!existsSync(BINARY)) step(process.execPath, ['scripts/build.mjs']);

// The program never creates its data directory, since a missing one can be a disk that is not mounted.
mkdirSync('data/quickstart', { recursive: true });
const settings = 'examples/quickstart/settings.toml';
const child = spawn(BINARY, ['run', '--settings', settings], { stdio: 'inherit' });
child.on('exit', (code) => process.exit(code ?? 1));
for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => child.kill(signal));

const deadline = Date.now() + START_LIMIT_MS;
while (!(await isReady())) {
  if (Date.now() > deadline) {
    console.error('the process did not become ready');
    child.kill();
    break;
  }
  await new Promise((resolve) => {
    setTimeout(resolve, POLL_MS);
  });
}
const body = JSON.stringify({
  model: 'crew-8b',
  stream: true,
  messages: [{ role: 'user', content: 'Draft a cleaning report for trap 14.' }],
});
console.log('Ready. Paste this into another terminal:');
console.log(
  `curl -N ${ENTRY}/v1/chat/completions -H 'authorization: Bearer ${KEY}' ` +
    `-H 'content-type: application/json' -d '${body}'`,
);
