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

// Guards against stops that wait for a learner that is gone.
test('a stop waits only for a member that can take the vote', () => {
  const withLearner = [...VOTERS, member('d', 'learner')];
  assert.equal(
    canHandVoteOver(VOTERS, OWN, () => true),
    false,
  );
  assert.equal(
    canHandVoteOver(withLearner, OWN, () => true),
    true,
  );
  assert.equal(
    canHandVoteOver(withLearner, OWN, (address) => address !== 'd'),
    false,
  );
  assert.equal(
    canHandVoteOver(withLearner, 'd-1' as Incarnation, () => true),
    false,
  );
});
