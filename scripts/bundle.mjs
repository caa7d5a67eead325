/**
 * Bundles the command line and all roles into one file, DIRECTORY/berylwood.cjs. With `--warm`, adds
 * the V8 code cache of a started gateway, and DIRECTORY/start.cjs, which loads both. The cache avoids
 * compilation at each restart, which is slow on half a core.
 */
import { execFileSync } from 'node:child_process';
import { mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';

/**
 * Replaces optional native modules, which cannot be bundled into a single file and which the libraries
 * do not require, and the push client for metrics, which is unused and slow to load.
 */
const stubOptionalModules = {
  name: 'without-optional-parts',
  setup({ onResolve, onLoad }) {
    const filter = /^(msgpackr-extract|bufferutil|utf-8-validate|\.\/lib\/pushgateway)$/;
    onResolve({ filter }, ({ path }) => ({ path, namespace: 'native' }));
    onLoad({ filter: /.*/, namespace: 'native' }, ({ path }) => ({
      contents: path.endsWith('pushgateway')
        ? 'module.exports = class {};'
        : `throw new Error('${path} is not part of the executable');`,
    }));
  },
};

/** Writes the bundle and returns its path. */
export async function bundle(directory) {
  const { version } = JSON.parse(readFileSync('package.json', 'utf8'));
  mkdirSync(directory, { recursive: true });
  const outfile = join(directory, 'berylwood.cjs');
  await build({
    entryPoints: ['apps/berylwood/src/main.ts'],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    outfile,
    minifyWhitespace: true,
    legalComments: 'none',
    define: { 'process.env.BERYLWOOD_VERSION': JSON.stringify(version) },
    logLevel: 'warning',
    plugins: [stubOptionalModules],
  });
  return outfile;
}

/** Settings of the gateway that is started to fill the code cache. The kernel chooses its ports. */
const WARM_SETTINGS = `
[process]
name = "warm"
[log]
output = true
[admin]
listen = "127.0.0.1:0"
[gateway]
instance = "warm"
ip = "127.0.0.1"
data_centre = "warm"
callers = "127.0.0.1:0"
readiness = "127.0.0.1:0"
operators = "127.0.0.1:0"
mesh_port = 0
platform = "127.0.0.1:1"
`;

/** Time for the gateway to start before its compiled code is saved. */
const WARM_UP_MS = 1500;

/** Starts the bundle once and saves the V8 code cache. */
function warm(directory, flags) {
  const settings = join(directory, 'warm.toml');
  const start = join(directory, 'start.cjs');
  const cache = join(directory, 'berylwood.cache');
  rmSync(cache, { force: true });
  writeFileSync(settings, WARM_SETTINGS);
  writeFileSync(start, readFileSync('deploy/start.cjs'));
  execFileSync(process.execPath, [...flags, start, 'run', '--settings', settings], {
    env: { ...process.env, BERYLWOOD_WARM_UP_MS: String(WARM_UP_MS) },
    stdio: ['ignore', 'ignore', 'inherit'],
  });
}

const [, script, directory, ...options] = process.argv;
if (script?.endsWith('bundle.mjs') && directory) {
  await bundle(directory);
  const [isWarm, ...flags] = options;
  if (isWarm === '--warm') warm(directory, flags);
}
