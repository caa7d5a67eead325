import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createReplicaName, type Incarnation } from './ids';
import type { Member, MemberKind } from './Membership';
import { mustAwaitHandOver, type Departure } from './mustAwaitHandOver';

function member(name: string, kind: MemberKind): Member {
  const incarnation = `${name}-1` as Incarnation;
  return { replica: createReplicaName(name), incarnation, kind, address: name };
}

const returnTimeoutMs = 10_000;
const VOTERS = [member('a', 'voter'), member('b', 'voter'), member('c', 'voter')];

function awaits(members: readonly Member[], departure: Partial<Departure> = {}): boolean {
  return mustAwaitHandOver({
    members,
    own: 'a-1' as Incarnation,
    target: 3,
    isConnected: () => true,
    silenceMs: () => 0,
    limits: { returnTimeoutMs },
    isLeaving: () => false,
    ...departure,
  });
}

const withoutConnection = (name: string, silenceMs: number): Partial<Departure> => ({
  isConnected: (address) => address !== name,
  silenceMs: (incarnation) => (incarnation === `${name}-1` ? silenceMs : 0),
});

// Guards against stops that wait for a member that does not return.
test('a stop waits for a member that can take the vote, and not for one that is gone for long', () => {
  const withLearner = [...VOTERS, member('d', 'learner')];
  assert.equal(awaits(VOTERS), false);
  assert.equal(awaits(withLearner), true);
  assert.equal(awaits(withLearner, withoutConnection('d', returnTimeoutMs + 1)), false);
  assert.equal(awaits(VOTERS, withoutConnection('c', returnTimeoutMs + 1)), false);
  assert.equal(awaits(withLearner, { own: 'd-1' as Incarnation }), false);
});

// Guards against a stop beside a loss, before the successor of the lost member has joined.
test('a stop waits while a member is lost that may return or have a successor', () => {
  const lost = withoutConnection('d', 1000);
  assert.equal(awaits([...VOTERS, member('d', 'learner')], lost), true);
  assert.equal(awaits([...VOTERS, member('d', 'joining')], lost), true);
  assert.equal(awaits(VOTERS, withoutConnection('c', 1000)), true);
  const unknown = { isConnected: lost.isConnected, silenceMs: () => undefined };
  assert.equal(awaits([...VOTERS, member('d', 'learner')], unknown), true);
});

test('a stop does not wait for a member that stops, too', () => {
  const lost = withoutConnection('c', 1000);
  assert.equal(awaits(VOTERS, { ...lost, isLeaving: (name) => name === 'c' }), false);
});

// Guards against a stop between the promotion of its successor and its own demotion.
test('a stop waits until its own vote is taken from it', () => {
  const withSuccessor = [...VOTERS, member('d', 'voter')];
  assert.equal(awaits(withSuccessor), true);
  const after = [member('a', 'learner'), ...withSuccessor.slice(1)];
  assert.equal(awaits(after), false);
});
