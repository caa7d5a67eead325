import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createReplicaName, type Incarnation } from './ids';
import type { MemberKind } from './Membership';
import {
  mustLeadOn,
  planMembership,
  type MemberHealth,
  type MembershipStep,
  type MembershipView,
} from './planMembership';

const LIMITS = {
  suspectAfterMs: 500,
  confirmAfterMs: 300,
  replaceAfterMs: 3000,
  leaderlessMs: 1500,
  returnTimeoutMs: 5000,
  removeAfterMs: 60_000,
};
const SETTLED_MS = 60_000;

function member(name: string, kind: MemberKind = 'voter', silenceMs = 0): MemberHealth {
  const replica = createReplicaName(name);
  const incarnation = `${name}-1` as Incarnation;
  const state = { hasReplied: true, isLeaving: false, isSelf: false };
  return { replica, incarnation, kind, silenceMs, ...state };
}

function leader(name: string): MemberHealth {
  return { ...member(name), isSelf: true };
}

function leaving(health: MemberHealth): MemberHealth {
  return { ...health, isLeaving: true };
}

/** The view of a leader of three voters. */
function viewOf(members: readonly MemberHealth[], leadershipMs = SETTLED_MS): MembershipView {
  return { members, target: 3, limits: LIMITS, leadershipMs };
}

function plan(
  members: readonly MemberHealth[],
  leadershipMs = SETTLED_MS,
): Omit<MembershipStep, 'incarnation'> | undefined {
  const step = planMembership(viewOf(members, leadershipMs));
  if (!step) return undefined;
  const { replica, incarnation, change } = step;
  assert.ok(members.some((item) => item.replica === replica && item.incarnation === incarnation));
  return { replica, change };
}

test('learners become voters up to the target', () => {
  const members = [member('a'), member('b', 'learner'), member('c', 'learner')];
  assert.deepEqual(plan(members), { replica: 'b', change: 'promote' });
});

test('one change is made at a time', () => {
  const members = [member('a'), member('b', 'joining'), member('c', 'learner')];
  assert.equal(plan(members), undefined);
});

test('a member that falls silent while it joins does not block the replacement of a voter', () => {
  const members = [
    member('a'),
    member('b'),
    member('c', 'voter', 9000),
    member('d', 'joining', 9000),
    member('e', 'learner'),
  ];
  assert.deepEqual(plan(members), { replica: 'd', change: 'demote' });
  const after = members.map((item) =>
    item.kind === 'joining' ? member('d', 'learner', 9000) : item,
  );
  assert.deepEqual(plan(after), { replica: 'e', change: 'promote' });
});

test('a silent voter keeps its vote while no learner can replace it', () => {
  const members = [member('a'), member('b'), member('c', 'voter', 9000)];
  assert.equal(plan(members), undefined);
});

test('a learner replaces a silent voter, which becomes a learner', () => {
  const members = [member('a'), member('b'), member('c', 'voter', 9000), member('d', 'learner')];
  assert.deepEqual(plan(members), { replica: 'd', change: 'promote' });
  const after = [member('a'), member('b'), member('c', 'voter', 9000), member('d')];
  assert.deepEqual(plan(after), { replica: 'c', change: 'demote' });
});

test('a voter beyond the target becomes a learner', () => {
  const members = [member('a'), member('b'), member('c'), member('d')];
  assert.deepEqual(plan(members), { replica: 'd', change: 'demote' });
});

test('a learner that stays silent is removed', () => {
  const members = [member('a'), member('b'), member('c'), member('d', 'learner', 70_000)];
  assert.deepEqual(plan(members), { replica: 'd', change: 'remove' });
});

test('a learner replaces a voter that is about to stop, and one about to stop gets no vote', () => {
  const spare = leaving(member('d', 'learner'));
  const members = [leaving(member('a')), member('b'), member('c'), spare];
  assert.equal(plan(members), undefined);
  const withLearner = [...members, member('e', 'learner')];
  assert.deepEqual(plan(withLearner), { replica: 'e', change: 'promote' });
  const after = [...members, member('e')];
  assert.deepEqual(plan(after), { replica: 'a', change: 'demote' });
});

// Guards against a new leader that gives a vote to a learner that has been gone for long.
test('a learner that has not replied to this leader gets no vote', () => {
  const gone = { ...member('d', 'learner', 500), hasReplied: false };
  const members = [member('a'), member('b'), member('c', 'voter', 9000), gone];
  assert.equal(plan(members), undefined);
  const withLearner = [...members, member('e', 'learner')];
  assert.deepEqual(plan(withLearner), { replica: 'e', change: 'promote' });
});

// Guards against a leaving voter whose vote is moved first, while the vote of a silent one is missing.
test('a silent voter is replaced before one that leaves', () => {
  const voters = [leaving(member('a')), leader('b'), member('c', 'voter', 9000)];
  assert.deepEqual(plan([...voters, member('d')]), { replica: 'c', change: 'demote' });
});

// Guards against a new leader that takes the vote of a live member, even its own, beside a voter that is gone.
test('a new leader does not choose a voter to demote before it knows them all', () => {
  const unheard = { ...member('a', 'voter', 100), hasReplied: false };
  const members = [unheard, member('b'), member('c'), leader('d')];
  assert.equal(plan(members, 100), undefined);
  assert.equal(
    plan([member('a', 'voter', 2000), member('b'), member('c'), leader('d')]),
    undefined,
  );
  const known = [member('a'), member('b'), member('c'), leader('d')];
  assert.equal(plan(known, 100), undefined);
  assert.deepEqual(plan(known), { replica: 'c', change: 'demote' });
});

test('a leaving leader demotes no other voter that replies', () => {
  const members = [leaving(leader('a')), member('b'), member('c'), member('d')];
  assert.equal(plan(members), undefined);
});

// Guards against a promotion that waits for a learner that has just gone, and against one of the newest learner: a
// machine counts as lost for some time after its start.
test('the first learner that has replied just now is promoted, and none that is suspected to be gone', () => {
  const voters = [leader('a'), member('b'), member('c', 'voter', 9000)];
  const members = [...voters, member('d', 'learner', 400), member('e', 'learner', 50)];
  assert.deepEqual(plan(members), { replica: 'e', change: 'promote' });
  const bothReply = [...voters, member('d', 'learner', 100), member('e', 'learner', 50)];
  assert.deepEqual(plan(bothReply), { replica: 'd', change: 'promote' });
  assert.equal(plan([...voters, member('d', 'learner', 600)]), undefined);
});

// Guards against a leaving leader whose successor starts to wait for a voter that it knew to be silent.
test('a leaving leader leads on while the vote of a silent voter can be moved', () => {
  const voters = [leaving(leader('a')), member('b'), member('c', 'voter', 800)];
  const learner = member('d', 'learner');
  assert.equal(mustLeadOn(viewOf([...voters, learner])), true);
  assert.equal(mustLeadOn(viewOf([...voters, member('d', 'joining')])), true);
  assert.equal(mustLeadOn(viewOf([...voters, member('d')])), true);
  const calm = [leaving(leader('a')), member('b'), member('c', 'voter', 100)];
  assert.equal(mustLeadOn(viewOf(calm)), false);
  assert.equal(mustLeadOn(viewOf([...calm, learner])), false);
});

// Guards against a transfer of leadership that delays the admission of a lost member's successor.
test('a leaving leader leads on until a member that was lost has a successor, or is gone for long', () => {
  const votersWith = (silenceMs: number) => [
    leaving(leader('a')),
    member('b'),
    member('c', 'voter', silenceMs),
  ];
  assert.equal(mustLeadOn(viewOf(votersWith(800))), true);
  assert.equal(mustLeadOn(viewOf(votersWith(5001))), false);
  const replaced = [leaving(leader('a')), member('b'), member('d'), member('c', 'learner', 2000)];
  assert.equal(mustLeadOn(viewOf(replaced)), true);
  assert.equal(mustLeadOn(viewOf([...replaced, member('e', 'learner')])), false);
});

// Guards against a leader that hands over right after its election, before it knows which voters are silent.
test('a leaving leader leads on until its voters have had time to reply', () => {
  const unheard = { ...member('c', 'voter', 100), hasReplied: false };
  const members = [leaving(leader('a')), member('b'), unheard];
  assert.equal(mustLeadOn(viewOf(members, 100)), true);
  assert.equal(mustLeadOn(viewOf(members, 5000)), false);
});

// Guards against a change that also concerns the incarnation from before the loss of a disk.
test('of two incarnations of a replica, the one that is silent loses its vote', () => {
  const earlier = { ...member('c', 'voter', 9000), incarnation: 'c-0' as Incarnation };
  const members = [leader('a'), member('b'), earlier, member('d'), member('c', 'learner')];
  const step = planMembership(viewOf(members));
  assert.deepEqual(step, { replica: earlier.replica, incarnation: 'c-0', change: 'demote' });
});
