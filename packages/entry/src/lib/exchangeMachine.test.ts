import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import test from 'node:test';
import { exchangeTable } from './exchangeMachine';

/** States in which no attempt was sent, or the sidecar has proved that it did not run. */
const NOT_RUN_STATES = ['waiting', 'claiming', 'deferred'];

test('"not run" is reported only in states where it is proved', () => {
  const notRunStates = exchangeTable.states.filter(({ note }) => note.notRun === true);
  assert.deepEqual(notRunStates.map(({ name }) => name).sort(), [...NOT_RUN_STATES].sort());
});

test('after an attempt has run, only a retry leads to a state that reports "not run"', () => {
  const ran = exchangeTable.states.filter(({ note }) => note.notRun === false);
  for (const { name, next } of ran) {
    for (const [event, target] of next) {
      const isProof = exchangeTable.find(target).note.notRun === true;
      assert.ok(!isProof || event === 'retry', `${name} --${event}--> ${target}`);
    }
  }
});

test('the page on attempts matches the state machines', () => {
  const args = ['--import', 'tsx', 'scripts/machines.ts', '--check'];
  const { status, stderr } = spawnSync(process.execPath, args, { encoding: 'utf8' });
  assert.equal(status, 0, stderr);
});
