/**
 * Builds the binary and runs the unit tests, the process tests and the scenarios. With arguments, runs
 * only these test files. Failures of tests listed in KNOWN-RED.txt (`test:` field, exact name) are
 * printed and do not fail the run.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

/** Number of test files run in parallel. It is limited because process tests need their own cores. */
const CONCURRENCY = 4;

/**
 * Files whose tests run one at a time, apart from other load: they measure how a process withstands a crowd of
 * clients.
 */
const CROWD_FILE = /\/crowd[^/]*\.process\.test\.ts$/;

/** Time limit of one test file, so that a hanging test fails. */
const TEST_LIMIT_MS = 180_000;

/** TAP report from which the names of failed tests are read. */
const REPORT = 'build/tests.tap';

function findTests(directory) {
  if (!existsSync(directory)) return [];
  return readdirSync(directory, { withFileTypes: true }).flatMap((entry) => {
    if (entry.name === 'node_modules') return [];
    const path = join(directory, entry.name);
    if (entry.isDirectory()) return findTests(path);
    return entry.name.endsWith('.test.ts') ? [path] : [];
  });
}

function readKnownRed() {
  if (!existsSync('KNOWN-RED.txt')) return [];
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
  return lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice(6).trim());
}

/** Returns the names of failed tests in a TAP report, without the test files that contain them. */
function parseFailedTests(report) {
  const names = [...report.matchAll(/^\s*not ok \d+ - (.*?)(?: # .*)?$/gm)].map(([, name]) => name);
  return [...new Set(names)].filter((name) => !name.endsWith('.test.ts'));
}

function runUnitTests(files, concurrency = CONCURRENCY) {
  mkdirSync('build', { recursive: true });
  const options = [
    `--test-concurrency=${concurrency}`,
    `--test-timeout=${TEST_LIMIT_MS}`,
    '--test-reporter=spec',
    '--test-reporter-destination=stdout',
    '--test-reporter=tap',
    `--test-reporter-destination=${REPORT}`,
  ];
  const args = ['--import', 'tsx', '--test', ...options, ...files];
  const { status } = spawnSync(process.execPath, args, { stdio: 'inherit' });
  if (status === 0) return true;
  const red = new Set(readKnownRed());
  const failed = parseFailedTests(readFileSync(REPORT, 'utf8'));
  const unknown = failed.filter((name) => !red.has(name));
  for (const name of failed.filter((item) => red.has(item))) console.log(`KNOWN RED: ${name}`);
  for (const name of unknown) console.log(`FAILED: ${name}`);
  return failed.length > 0 && unknown.length === 0;
}

function runScenarios() {
  if (!existsSync('cucumber.json')) return true;
  const args = ['--import', 'tsx', 'node_modules/@cucumber/cucumber/bin/cucumber.js'];
  return spawnSync(process.execPath, args, { stdio: 'inherit' }).status === 0;
}

const testFiles = process.argv.slice(2);
if (testFiles.length > 0) process.exit(runUnitTests(testFiles) ? 0 : 1);
const build = spawnSync(process.execPath, ['scripts/build.mjs'], { stdio: 'inherit' });
if (build.status !== 0) process.exit(1);
const allFiles = ['packages', 'platform', 'apps'].flatMap(findTests);
const unitTestsPass = runUnitTests(allFiles.filter((file) => !CROWD_FILE.test(file)));
const crowdTestsPass = runUnitTests(
  allFiles.filter((file) => CROWD_FILE.test(file)),
  1,
);
const scenariosPass = runScenarios();
process.exit(unitTestsPass && crowdTestsPass && scenariosPass ? 0 : 1);
