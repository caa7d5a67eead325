/** Builds the single executable build/berylwood: a bundle inside a copy of the Node.js executable. */
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';

const SENTINEL = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const BUNDLE = 'build/berylwood.cjs';
const BLOB = 'build/berylwood.blob';
const BINARY = 'build/berylwood';

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

const { version } = JSON.parse(readFileSync('package.json', 'utf8'));

mkdirSync('build', { recursive: true });
await build({
  entryPoints: ['apps/berylwood/src/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: BUNDLE,
  define: { 'process.env.BERYLWOOD_VERSION': JSON.stringify(version) },
  logLevel: 'warning',
  plugins: [withoutNativeParts],
});
const sea = { main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true };
writeFileSync('build/sea.json', JSON.stringify(sea));
execFileSync(process.execPath, ['--experimental-sea-config', 'build/sea.json'], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
execFileSync(
  process.execPath,
  ['node_modules/postject/dist/cli.js', BINARY, 'NODE_SEA_BLOB', BLOB, '--sentinel-fuse', SENTINEL],
  // Its warnings on sections of the executable do no harm; an error is in the message of the throw.
  { stdio: ['ignore', 'ignore', 'pipe'] },
);
