import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createReplicaName } from './ids';
import type { MemberKind } from './Membership';
import { planMembership, type MemberHealth } from './planMembership';

const LIMITS = { replaceAfterMs: 3000, removeAfterMs: 60_000 };

function member(name: string, kind: MemberKind = 'voter', silenceMs = 0): MemberHealth {
  return { replica: createReplicaName(name), kind, silenceMs, hasReplied: true, isLeaving: false };
}

test('learners become voters up to the target', () => {
  const members = [member('a'), member('b', 'learner'), member('c', 'learner')];
  assert.deepEqual(planMembership(members, 3, LIMITS), { replica: 'b', change: 'promote' });
});

test('one change is made at a time', () => {
  const members = [member('a'), member('b', 'joining'), member('c', 'learner')];
  assert.equal(planMembership(members, 3, LIMITS), undefined);
});

test('a member that falls silent while it joins does not block the replacement of a voter', () => {
  const members = [
    member('a'),
    member('b'),
    member('c', 'voter', 9000),
    member('d', 'joining', 9000),
    member('e', 'learner'),
  ];
  assert.deepEqual(planMembership(members, 3, LIMITS), { replica: 'd', change: 'demote' });
  const after = members.map((item) =>
    item.kind === 'joining' ? member('d', 'learner', 9000) : item,
  );
  assert.deepEqual(planMembership(after, 3, LIMITS), { replica: 'e', change: 'promote' });
});

test('a silent voter keeps its vote while no learner can replace it', () => {
  const members = [member('a'), member('b'), member('c', 'voter', 9000)];
  assert.equal(planMembership(members, 3, LIMITS), undefined);
});

test('a learner replaces a silent voter, which becomes a learner', () => {
  const members = [member('a'), member('b'), member('c', 'voter', 9000), member('d', 'learner')];
  assert.deepEqual(planMembership(members, 3, LIMITS), { replica: 'd', change: 'promote' });
  const after = [member('a'), member('b'), member('c', 'voter', 9000), member('d')];
  assert.deepEqual(planMembership(after, 3, LIMITS), { replica: 'c', change: 'demote' });
});

test('a voter beyond the target becomes a learner', () => {
  const members = [member('a'), member('b'), member('c'), member('d')];
  assert.deepEqual(planMembership(members, 3, LIMITS), { replica: 'd', change: 'demote' });
});

test('a learner that stays silent is removed', () => {
  const members = [member('a'), member('b'), member('c'), member('d', 'learner', 70_000)];
  assert.deepEqual(planMembership(members, 3, LIMITS), { replica: 'd', change: 'remove' });
});

test('a learner replaces a voter that is about to stop, and one about to stop gets no vote', () => {
  const leaving = { ...member('a'), isLeaving: true };
  const spare = { ...member('d', 'learner'), isLeaving: true };
  const members = [leaving, member('b'), member('c'), spare];
  assert.equal(planMembership(members, 3, LIMITS), undefined);
  const withLearner = [...members, member('e', 'learner')];
  assert.deepEqual(planMembership(withLearner, 3, LIMITS), { replica: 'e', change: 'promote' });
  const after = [...members, member('e')];
  assert.deepEqual(planMembership(after, 3, LIMITS), { replica: 'a', change: 'demote' });
});

// Guards against a new leader that gives a vote to a learner that has been gone for long.
test('a learner that has not replied to this leader gets no vote', () => {
  const gone = { ...member('d', 'learner', 500), hasReplied: false };
  const members = [member('a'), member('b'), member('c', 'voter', 9000), gone];
  assert.equal(planMembership(members, 3, LIMITS), undefined);
  const withLearner = [...members, member('e', 'learner')];
  assert.deepEqual(planMembership(withLearner, 3, LIMITS), { replica: 'e', change: 'promote' });
});
