/**
 * Runs the bundle in this directory, with its code cache if that matches this version of Node.js, and
 * with the settings file that the platform names in the environment.
 */
process.on('SIGHUP', () => {});
const { existsSync, readFileSync, writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const filename = join(__dirname, 'gateway.cjs');
const cache = join(__dirname, 'gateway.cache');
const source = readFileSync(filename, 'latin1');
const script = new Script(
  `(function (exports, require, module, __filename, __dirname) {${source}\n})`,
  { filename, cachedData: existsSync(cache) ? readFileSync(cache) : undefined },
);
const warmUpMs = Number(process.env.BERYLWOOD_WARM_UP_MS ?? 0);
if (warmUpMs > 0) {
  setTimeout(() => {
    writeFileSync(cache, script.createCachedData());
    process.exit(0);
  }, warmUpMs);
}
script.runInThisContext()(exports, require, module, filename, __dirname);
