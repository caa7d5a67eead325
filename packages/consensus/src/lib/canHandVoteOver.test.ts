import assert from 'node:assert/strict';
import { test } from 'node:test';
import { canHandVoteOver } from './canHandVoteOver';
import { createReplicaName, type Incarnation } from './ids';
import type { Member, MemberKind } from './Membership';

function member(name: string, kind: MemberKind): Member {
  const incarnation = `${name}-1` as Incarnation;
  return { replica: createReplicaName(name), incarnation, kind, address: name };
}

const OWN = 'a-1' as Incarnation;
const VOTERS = [member('a', 'voter'), member('b', 'voter'), member('c', 'voter')];

function canHandOver(
  members: readonly Member[],
  isConnected: (address: string) => boolean = () => true,
  own = OWN,
): boolean {
  return canHandVoteOver({ members, own, target: 3, isConnected });
}

// Guards against stops that wait for a learner that is gone.
test('a stop waits only for a member that can take the vote', () => {
  const withLearner = [...VOTERS, member('d', 'learner')];
  assert.equal(canHandOver(VOTERS), false);
  assert.equal(canHandOver(withLearner), true);
  assert.equal(
    canHandOver(withLearner, (address) => address !== 'd'),
    false,
  );
  assert.equal(
    canHandOver(withLearner, () => true, 'd-1' as Incarnation),
    false,
  );
});

// Guards against a stop between the promotion of its successor and its own demotion.
test('a stop waits until its own vote is taken from it', () => {
  const withSuccessor = [...VOTERS, member('d', 'voter')];
  assert.equal(canHandOver(withSuccessor), true);
  const after = [member('a', 'learner'), ...withSuccessor.slice(1)];
  assert.equal(canHandOver(after), false);
});
