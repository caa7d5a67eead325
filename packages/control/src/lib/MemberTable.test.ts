import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualTimer, asId } from '@berylwood/base';
import type { Member } from '@berylwood/schema';
import { MemberTable } from './MemberTable';

const GRACE_MS = 5000;

function memberOf(change: Partial<Member> = {}): Member {
  return {
    endpoint: asId('engine-1'),
    incarnation: asId('inc-1'),
    instance: asId('i-1'),
    dataCentre: asId('naas'),
    kind: 'engine',
    address: '127.0.0.1:1',
    models: [],
    slots: 1,
    state: 'live',
    ...change,
  };
}

function createTable() {
  const timer = new VirtualTimer();
  const members = new MemberTable(timer);
  const changes: string[] = [];
  members.onChange = (changed, removed) => {
    changes.push(...changed.map(({ state }) => state), ...removed.map(() => 'removed'));
  };
  members.announce(memberOf(), 'sidecar');
  return { timer, members, changes };
}

test('the platform, an order or the sidecar can mark a member as leaving', () => {
  const listed = createTable();
  const instance = { endpoint: asId<'endpoint'>('engine-1'), instance: 'i-1' };
  const entry = { ...instance, dataCentre: asId<'dataCentre'>('naas') };
  listed.members.setPlatformList([{ ...entry, state: 'leaving' }]);
  listed.members.announce(memberOf(), 'sidecar');
  assert.deepEqual(listed.changes, ['live', 'leaving']);

  const ordered = createTable();
  ordered.members.setStoppedIncarnations([asId('inc-1')]);
  assert.equal(ordered.members.members[0]?.state, 'leaving');
  ordered.members.announce(memberOf({ incarnation: asId('inc-2') }), 'sidecar');
  assert.equal(ordered.members.members[0]?.state, 'live');
});

test('a member is kept for the grace period after its connection is lost', () => {
  const { timer, members, changes } = createTable();
  members.withdraw(asId('engine-1'), 'sidecar');
  timer.advance(GRACE_MS - 1);
  members.announce(memberOf(), 'sidecar');
  timer.advance(GRACE_MS);
  assert.deepEqual(changes, ['live']);
  members.withdraw(asId('engine-1'), 'sidecar');
  timer.advance(GRACE_MS);
  assert.deepEqual(changes, ['live', 'removed']);
});

test('a leaving member is removed when its connection is lost', () => {
  const { members, changes } = createTable();
  members.announce(memberOf({ state: 'leaving' }), 'sidecar');
  members.withdraw(asId('engine-1'), 'sidecar');
  assert.deepEqual(changes, ['live', 'leaving', 'removed']);
});
