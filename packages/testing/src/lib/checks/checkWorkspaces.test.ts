import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Journal, VirtualTimer, defineEvents } from '@berylwood/base';
import { checkWorkspaces, workspacesOfAttempts } from './checkWorkspaces';
import { createCaller, createRun } from './fixtures';

const workspaces = new Map([['attempt-1', 'patan-grease']]);

test('a run for the workspace of its key passes', () => {
  assert.deepEqual(checkWorkspaces([createCaller()], [createRun()], workspaces), []);
});

test('a run for another workspace, and a run that nobody sent, are found', () => {
  const stolen = createCaller({ workspace: 'thapathali-traps' });
  assert.equal(checkWorkspaces([stolen], [createRun()], workspaces).length, 1);
  assert.equal(checkWorkspaces([], [createRun()], new Map()).length, 1);
});

test('the workspace of an attempt is read from the journal', () => {
  const detail = { level: 'debug', meaning: 'test', action: 'none' } as const;
  const events = defineEvents({
    requestArrived: { number: 990, ...detail },
    requestDispatched: { number: 991, ...detail },
  });
  const timer = new VirtualTimer();
  const journal = new Journal({ process: 'entry', incarnation: 'i', timer, level: 'silent' });
  journal.record(events.requestArrived, { request: 'r1', workspace: 'patan-grease' });
  journal.record(events.requestDispatched, { request: 'r1', attempt: 'attempt-1' });
  assert.deepEqual(workspacesOfAttempts(journal.recent()), workspaces);
});
