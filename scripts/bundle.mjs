/**
 * Bundles the command line and all roles into one file, DIRECTORY/berylwood.cjs. With `--gateway`, writes
 * DIRECTORY/gateway.cjs instead, which holds only the gateway role, and DIRECTORY/gateway.blob, a startup
 * snapshot of Node.js with that bundle. It shortens each restart, which is slow on a fraction of a core.
 */
import { execFileSync } from 'node:child_process';
import { mkdirSync, readFileSync } from 'node:fs';
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

/** Built-in modules that a startup snapshot cannot hold, or that a gateway does not use. */
const LAZY_BUILT_INS = ['http', 'https', 'tls', 'worker_threads', 'module'];

/** Loads the built-in modules that are listed above when one of their members is first used. */
const lazyBuiltIns = {
  name: 'lazy-built-ins',
  setup({ onResolve, onLoad }) {
    const filter = new RegExp(`^(node:)?(${LAZY_BUILT_INS.join('|')})$`);
    onResolve({ filter }, ({ path, namespace }) =>
      namespace === 'lazy' ? { path, external: true } : { path, namespace: 'lazy' },
    );
    onLoad({ filter: /.*/, namespace: 'lazy' }, ({ path }) => {
      const members = Object.keys(process.getBuiltinModule(path)).map(
        (name) => `get ${name}() { return require('${path}').${name}; }`,
      );
      return { contents: `module.exports = { ${members.join(', ')} };` };
    });
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

/**
 * Evaluates the bundle and saves the state of the process, which a start then restores instead of
 * evaluating the bundle again. A start must have the same `flags` of V8.
 */
function buildSnapshot(directory, main, flags) {
  const blob = join(directory, 'gateway.blob');
  execFileSync(process.execPath, [...flags, '--snapshot-blob', blob, '--build-snapshot', main], {
    // Hides warnings about modules that Node.js does not support in snapshots; errors are thrown.
    stdio: ['ignore', 'ignore', 'pipe'],
  });
}

const [, script, directory, ...options] = process.argv;
if (script?.endsWith('bundle.mjs') && directory) {
  const [mode, ...flags] = options;
  if (mode === '--gateway') buildSnapshot(directory, await bundle(directory, 'gateway'), flags);
  else await bundle(directory);
}
