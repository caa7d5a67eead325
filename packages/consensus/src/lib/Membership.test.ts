import assert from 'node:assert/strict';
import test from 'node:test';
import { asId } from '@berylwood/base';
import fc from 'fast-check';
import { createReplicaName, type Incarnation } from './ids';
import {
  EMPTY_MEMBERSHIP,
  decodeMembership,
  encodeMembership,
  majority,
  voterSets,
  quorumValue,
  reportedMembership,
  voters,
  withJoiner,
  withPromoted,
  withoutOutgoing,
  withoutReplica,
  type Membership,
} from './Membership';

const REPLICAS = ['a', 'b', 'c', 'd', 'e'].map(createReplicaName);

function subsets(items: readonly Incarnation[]): Incarnation[][] {
  return items.reduce<Incarnation[][]>(
    (subsetsSoFar, item) => [...subsetsSoFar, ...subsetsSoFar.map((subset) => [...subset, item])],
    [[]],
  );
}

/** Subsets of `all` that form a quorum of a membership. */
function quorums(membership: Membership, all: readonly Incarnation[]): Incarnation[][] {
  const sets = voterSets(membership);
  return subsets(all).filter((subset) =>
    sets.every((set) => {
      const count = set.filter((item) => subset.includes(item)).length;
      return count >= majority(set.length);
    }),
  );
}

function join(membership: Membership, replica: number, incarnationNumber: number): Membership {
  const name = REPLICAS[replica] ?? createReplicaName('a');
  const incarnation = asId<'incarnation'>(`${name}${incarnationNumber}`);
  return withJoiner(membership, { replica: name, incarnation }, '', true);
}

/** Applies one change as the leader would; returns the same membership if it is not allowed. */
function change(
  membership: Membership,
  kind: number,
  replica: number,
  incarnationNumber: number,
): Membership {
  if (membership.outgoing) return withoutOutgoing(membership);
  if (kind < 3) {
    const joining = membership.members.find((member) => member.kind === 'joining');
    return joining
      ? withPromoted(membership, joining.incarnation)
      : join(membership, replica, incarnationNumber);
  }
  const removed = withoutReplica(membership, REPLICAS[replica] ?? createReplicaName('a'));
  return voters(removed).length > 0 ? removed : membership;
}

test('any quorum of a membership and any of the next one have a common voter', () => {
  const step = fc.record({ kind: fc.nat(3), replica: fc.nat(4) });
  const property = fc.property(fc.array(step, { maxLength: 14 }), (steps) => {
    const founder = join(EMPTY_MEMBERSHIP, 0, 0);
    let before = withPromoted(founder, asId<'incarnation'>('a0'));
    steps.forEach(({ kind, replica }, position) => {
      const after = change(before, kind, replica, position + 1);
      const all = [...new Set([...voterSets(before).flat(), ...voterSets(after).flat()])];
      for (const quorum of quorums(before, all)) {
        for (const otherQuorum of quorums(after, all)) {
          assert.ok(quorum.some((item) => otherQuorum.includes(item)));
        }
      }
      before = after;
    });
  });
  fc.assert(property, { seed: 1, numRuns: 60 });
});

test('a promotion removes the earlier incarnation in the same change', () => {
  let membership = withPromoted(join(EMPTY_MEMBERSHIP, 0, 0), asId<'incarnation'>('a0'));
  membership = withPromoted(join(membership, 1, 0), asId<'incarnation'>('b0'));
  assert.equal(membership.outgoing, undefined);
  membership = withPromoted(join(membership, 1, 1), asId<'incarnation'>('b1'));
  assert.deepEqual(voters(membership), ['a0', 'b1']);
  assert.deepEqual(membership.outgoing, ['a0', 'b0']);
  assert.deepEqual(decodeMembership(encodeMembership(membership)), membership);
});

test('the quorum value is the value that a majority of each voter set has reached', () => {
  const values: Record<string, number> = { a: 5, b: 3, c: 1, d: 9 };
  const set = (...names: string[]): Incarnation[] => names.map((name) => asId<'incarnation'>(name));
  const valueOf = (name: Incarnation): number => values[name] ?? 0;
  assert.equal(quorumValue([set('a', 'b', 'c')], valueOf), 3);
  assert.equal(quorumValue([set('a', 'b', 'c', 'd')], valueOf), 3);
  assert.equal(quorumValue([set('a', 'd'), set('b', 'c', 'd')], valueOf), 3);
  assert.equal(quorumValue([set()], valueOf), -Infinity);
});

test('a replacement is reported as joining until its joint configuration ends', () => {
  const first = withPromoted(join(EMPTY_MEMBERSHIP, 0, 1), asId<'incarnation'>(`${REPLICAS[0]}1`));
  const replaced = withPromoted(join(first, 0, 2), asId<'incarnation'>(`${REPLICAS[0]}2`));
  const kinds = (membership: Membership) => membership.members.map(({ kind }) => kind);
  assert.deepEqual(kinds(replaced), ['voter']);
  assert.deepEqual(kinds(reportedMembership(replaced)), ['joining']);
  assert.deepEqual(kinds(reportedMembership(withoutOutgoing(replaced))), ['voter']);
});
