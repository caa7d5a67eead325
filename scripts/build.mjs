/** Builds the single executable build/berylwood: a bundle inside a copy of the Node.js executable. */
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, writeFileSync } from 'node:fs';
import { bundle } from './bundle.mjs';

const SENTINEL = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const BLOB = 'build/berylwood.blob';
const BINARY = 'build/berylwood';

const main = await bundle('build');
const sea = { main, output: BLOB, disableExperimentalSEAWarning: true };
writeFileSync('build/sea.json', JSON.stringify(sea));
execFileSync(process.execPath, ['--experimental-sea-config', 'build/sea.json'], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
execFileSync(
  process.execPath,
  ['node_modules/postject/dist/cli.js', BINARY, 'NODE_SEA_BLOB', BLOB, '--sentinel-fuse', SENTINEL],
  // Hides harmless warnings about executable sections. On failure, the thrown error contains stderr.
  { stdio: ['ignore', 'ignore', 'pipe'] },
);
