import assert from 'node:assert/strict';
import test from 'node:test';
import { createActor } from 'xstate';
import { roleMachine, type RoleEvent } from './roleMachine';

function createRoles(skipPreVote = false) {
  const trace: string[] = [];
  const record = (name: string) => (): void => {
    trace.push(name);
  };
  const effects = {
    skipPreVote,
    entered: record('entered'),
    startPreVote: record('startPreVote'),
    startVote: record('startVote'),
    startLeading: record('startLeading'),
    stopLeading: record('stopLeading'),
    release: record('release'),
  };
  const actor = createActor(roleMachine, { input: { effects } });
  actor.start();
  const send = (...types: RoleEvent['type'][]): string => {
    types.forEach((type) => actor.send({ type }));
    return String(actor.getSnapshot().value);
  };
  return { send, trace };
}

test('a voter runs a pre-vote and then a vote, and leads until a newer term', () => {
  const { send, trace } = createRoles();
  assert.equal(send('electionTimeout'), 'learner');
  assert.equal(send('voteGained'), 'follower');
  assert.equal(send('voteWon'), 'follower');
  assert.equal(send('electionTimeout'), 'preCandidate');
  assert.equal(send('preVoteWon'), 'candidate');
  assert.equal(send('voteWon'), 'leader');
  assert.equal(send('electionTimeout'), 'leader');
  assert.equal(send('newerTerm'), 'follower');
  const effects = trace.filter((name) => name !== 'entered');
  assert.deepEqual(effects, ['startPreVote', 'startVote', 'startLeading', 'stopLeading']);
});

test('a candidate that is not elected runs a pre-vote again', () => {
  const { send } = createRoles();
  assert.equal(send('voteGained', 'electionTimeout', 'preVoteWon'), 'candidate');
  assert.equal(send('electionTimeout'), 'preCandidate');
  assert.equal(send('leaderSeen'), 'follower');
  assert.equal(send('transferRequested'), 'candidate');
});

test('a leader that is stopped ends its leadership first', () => {
  const { send, trace } = createRoles();
  send('voteGained', 'transferRequested', 'voteWon');
  assert.equal(send('stop'), 'stopped');
  assert.deepEqual(trace.slice(-3), ['stopLeading', 'entered', 'release']);
});
