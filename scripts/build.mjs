/** Builds the single executable build/berylwood: a bundle inside a copy of the Node.js executable. */
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';

const SENTINEL = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const BUNDLE = 'build/berylwood.cjs';
const BLOB = 'build/berylwood.blob';
const BINARY = 'build/berylwood';

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
  // Optional native parts: the libraries work without them.
  external: ['msgpackr-extract', 'bufferutil', 'utf-8-validate'],
});
const sea = { main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true };
writeFileSync('build/sea.json', JSON.stringify(sea));
execFileSync(process.execPath, ['--experimental-sea-config', 'build/sea.json']);
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
execFileSync(
  process.execPath,
  ['node_modules/postject/dist/cli.js', BINARY, 'NODE_SEA_BLOB', BLOB, '--sentinel-fuse', SENTINEL],
  { stdio: ['ignore', 'ignore', 'inherit'] },
);
