import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import test from 'node:test';
import { exchangeTable } from './exchangeMachine';

/** States in which nothing was handed to a sidecar, or its sidecar has proved that it never ran. */
const NOT_RUN_STATES = ['waiting', 'claiming', 'deferred'];

test('"not run" is said only from states where it is proved', () => {
  const notRunStates = exchangeTable.states.filter(({ note }) => note.notRun === true);
  assert.deepEqual(notRunStates.map(({ name }) => name).sort(), [...NOT_RUN_STATES].sort());
});

test('no state after an attempt has run leads back to a proof without a retry', () => {
  const ran = exchangeTable.states.filter(({ note }) => note.notRun === false);
  for (const { name, next } of ran) {
    for (const [event, target] of next) {
      const isProof = exchangeTable.find(target).note.notRun === true;
      assert.ok(!isProof || event === 'retry', `${name} --${event}--> ${target}`);
    }
  }
});

test('the page on attempts shows the machines as they are', () => {
  const args = ['--import', 'tsx', 'scripts/machines.ts', '--check'];
  const { status, stderr } = spawnSync(process.execPath, args, { encoding: 'utf8' });
  assert.equal(status, 0, stderr);
});
