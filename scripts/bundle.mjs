/**
 * Bundles the command line and all roles into one file, DIRECTORY/berylwood.cjs. With `--gateway`, writes
 * DIRECTORY/gateway.cjs instead, which holds only the gateway role, its V8 code cache, and
 * DIRECTORY/start.cjs, which loads both. A smaller bundle and the cache shorten each restart, which is
 * slow on a fraction of a core.
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

/**
 * Marks our modules as free of side effects, so that the bundle leaves out those that it does not use.
 * The registries of codes and events are the only exception; they serve the command line.
 */
const unusedModules = {
  name: 'without-unused-modules',
  setup({ onResolve, resolve }) {
    onResolve({ filter: /^(@berylwood\/|\.\.?\/)/ }, async ({ path, pluginData, ...from }) => {
      if (pluginData === unusedModules || /node_modules/.test(from.importer)) return undefined;
      const { importer, resolveDir, kind } = from;
      const options = { importer, resolveDir, kind, pluginData: unusedModules };
      const resolved = await resolve(path, options);
      return { ...resolved, sideEffects: false };
    });
  },
};

/** Built-in modules that libraries import but a gateway does not use, and that are slow to load. */
const UNUSED_BUILT_INS = ['https', 'tls'];

/**
 * Leaves out parts of libraries that a gateway does not use and that load further built-in modules: log
 * transports in worker threads, and metrics of the Node.js process.
 */
const stubUnusedLibraries = {
  name: 'without-unused-libraries',
  setup({ onResolve, onLoad }) {
    const filter = /^(thread-stream|\.\/lib\/defaultMetrics)$/;
    onResolve({ filter }, ({ path }) => ({ path, namespace: 'unused' }));
    onLoad({ filter: /.*/, namespace: 'unused' }, ({ path }) => ({
      contents: `module.exports = () => { throw new Error('${path} is not part of this bundle'); };`,
    }));
  },
};

/** Loads the built-in modules that are listed above when one of their functions is first used. */
const lazyBuiltIns = {
  name: 'lazy-built-ins',
  setup({ onResolve, onLoad }) {
    const filter = new RegExp(`^(node:)?(${UNUSED_BUILT_INS.join('|')})$`);
    onResolve({ filter }, ({ path, namespace }) =>
      namespace === 'lazy' ? { path, external: true } : { path, namespace: 'lazy' },
    );
    onLoad({ filter: /.*/, namespace: 'lazy' }, ({ path }) => ({
      contents: `module.exports = new Proxy({}, { get: (_, name) => require('${path}')[name] });`,
    }));
  },
};

/** Writes the bundle of an entry point and returns its path. */
export async function bundle(directory, entry = 'berylwood') {
  const { version } = JSON.parse(readFileSync('package.json', 'utf8'));
  mkdirSync(directory, { recursive: true });
  const outfile = join(directory, `${entry}.cjs`);
  const isGateway = entry === 'gateway';
  await build({
    entryPoints: [`apps/berylwood/src/${isGateway ? 'gateway' : 'main'}.ts`],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    outfile,
    minifyWhitespace: true,
    legalComments: 'none',
    define: { 'process.env.BERYLWOOD_VERSION': JSON.stringify(version) },
    logLevel: 'warning',
    plugins: [
      stubOptionalModules,
      ...(isGateway ? [unusedModules, lazyBuiltIns, stubUnusedLibraries] : []),
    ],
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
  const cache = join(directory, 'gateway.cache');
  rmSync(cache, { force: true });
  writeFileSync(settings, WARM_SETTINGS);
  writeFileSync(start, readFileSync('deploy/start.cjs'));
  execFileSync(process.execPath, [...flags, start, '--settings', settings], {
    env: { ...process.env, BERYLWOOD_WARM_UP_MS: String(WARM_UP_MS) },
    stdio: ['ignore', 'ignore', 'inherit'],
  });
}

const [, script, directory, ...options] = process.argv;
if (script?.endsWith('bundle.mjs') && directory) {
  const [mode, ...flags] = options;
  if (mode === '--gateway') {
    await bundle(directory, 'gateway');
    warm(directory, flags);
  } else await bundle(directory);
}
