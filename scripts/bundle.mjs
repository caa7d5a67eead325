/** Bundles the command line and all roles into one file, FOLDER/berylwood.cjs. */
import { mkdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';

/** Optional native parts of libraries, which work without them; a single file can not hold them. */
const withoutNativeParts = {
  name: 'without-native-parts',
  setup({ onResolve, onLoad }) {
    const filter = /^(msgpackr-extract|bufferutil|utf-8-validate)$/;
    onResolve({ filter }, ({ path }) => ({ path, namespace: 'native' }));
    onLoad({ filter: /.*/, namespace: 'native' }, ({ path }) => ({
      contents: `throw new Error('${path} is not part of the executable');`,
    }));
  },
};

/** Writes the bundle and returns its path. */
export async function bundle(folder) {
  const { version } = JSON.parse(readFileSync('package.json', 'utf8'));
  mkdirSync(folder, { recursive: true });
  const outfile = join(folder, 'berylwood.cjs');
  await build({
    entryPoints: ['apps/berylwood/src/main.ts'],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    outfile,
    define: { 'process.env.BERYLWOOD_VERSION': JSON.stringify(version) },
    logLevel: 'warning',
    plugins: [withoutNativeParts],
  });
  return outfile;
}

const [, script, folder] = process.argv;
if (script?.endsWith('bundle.mjs') && folder) await bundle(folder);
