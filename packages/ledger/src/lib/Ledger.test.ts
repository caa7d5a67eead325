import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import {
  asWorkspaceId,
  createChangeId,
  createKeyId,
  emptyConfiguration,
  type ChangeId,
} from '@berylwood/schema';
import { asId } from '@berylwood/base';
import { ledgerCodes } from './codes';
import { decodeOutcome, encodeCommand, type Command, type CommandOutcome } from './Command';
import { Ledger } from './Ledger';
import { splitBackup } from './Restoration';

const FIXTURES = 'packages/ledger/fixtures';

/** Creates a ledger with helpers that apply typed commands. */
function createHarness(ledger = new Ledger()) {
  let index = 0;
  const apply = (command: Command): CommandOutcome => {
    index += 1;
    return decodeOutcome(ledger.apply(index, encodeCommand(command)));
  };
  const configure = (expected: number, change: ChangeId = createChangeId(ledger.index)) =>
    apply({
      type: 'configure',
      change,
      at: 1000,
      operator: 'asha',
      expected,
      configuration: { ...emptyConfiguration, customers: { acme: { plan: 'basic' } } },
    });
  return { ledger, apply, configure };
}

function giveKey(change: ChangeId, hash: string): Command {
  const record = { key: createKeyId(), hash, workspace: asWorkspaceId('acme') };
  return { type: 'giveKey', change, at: 2000, record };
}

function assertRefused(outcome: CommandOutcome, code: { number: number }): void {
  assert.equal(outcome.type === 'refused' && outcome.code, code.number);
}

test('the second change based on one revision is rejected with the id of the first', () => {
  const { configure } = createHarness();
  const winner = createChangeId();
  assert.equal(configure(0, winner).type, 'done');
  const loser = configure(0);
  assertRefused(loser, ledgerCodes.revisionConflict);
  assert.match(loser.type === 'refused' ? loser.message : '', new RegExp(winner));
});

test('a resent change returns its first outcome and is not applied again', () => {
  const { ledger, configure } = createHarness();
  const change = createChangeId();
  const first = configure(0, change);
  configure(1);
  assert.deepEqual(configure(0, change), first);
  assert.equal(ledger.feed.revision, 2);
});

test('a change id is rejected for another change', () => {
  const { apply, configure } = createHarness();
  const change = createChangeId();
  configure(0, change);
  const other = apply({ type: 'withdrawKey', change, at: 1, key: asId('key-1') });
  assertRefused(other, ledgerCodes.changeReused);
});

test('a change older than the retained outcomes is rejected, not applied again', () => {
  const { ledger, apply, configure } = createHarness(new Ledger({ keptOutcomes: 2 }));
  configure(0);
  const give = giveKey(createChangeId(ledger.index), 'a'.repeat(64));
  const first = apply(give);
  assert.ok(first.type === 'done' && first.key);
  const { key } = first.key;
  apply({ type: 'withdrawKey', change: createChangeId(ledger.index), at: 1, key });
  configure(1);
  configure(2);
  assertRefused(apply(give), ledgerCodes.changeForgotten);
  assert.equal(ledger.feed.keys.length, 0);
  assert.equal(configure(3).type, 'done');
});

test('a resent giveKey returns the first key, even with another secret', () => {
  const { ledger, apply, configure } = createHarness();
  configure(0);
  const change = createChangeId();
  const first = apply(giveKey(change, 'a'.repeat(64)));
  const second = apply(giveKey(change, 'b'.repeat(64)));
  assert.deepEqual(second, first);
  assert.equal(ledger.feed.keys.length, 1);
  assert.equal(second.type === 'done' && second.key?.hash, 'a'.repeat(64));
});

test('an order is sent only with the current fencing number', () => {
  const { apply } = createHarness();
  apply({ type: 'fence', at: 1, replica: 'a' });
  const order = asId<'order'>('ord-1');
  const action = { type: 'start', dataCentre: asId<'dataCentre'>('naas'), model: 'm' } as const;
  apply({ type: 'intendOrder', change: createChangeId(), at: 1, order, action });
  apply({ type: 'fence', at: 1, replica: 'b' });
  assertRefused(apply({ type: 'sendOrder', at: 1, order, fence: 1 }), ledgerCodes.fenceStale);
  assert.equal(apply({ type: 'sendOrder', at: 1, order, fence: 2 }).type, 'done');
});

test('a snapshot restores the complete state', () => {
  const { ledger, apply, configure } = createHarness();
  const change = createChangeId();
  const first = configure(0, change);
  apply({ type: 'fence', at: 1, replica: 'a', windowMs: 5000 });
  const copy = new Ledger();
  copy.restore(ledger.snapshot());
  assert.deepEqual(copy.snapshot(), ledger.snapshot());
  const resent = createHarness(copy).configure(0, change);
  assert.deepEqual(resent, first);
});

test('a snapshot and commands of version 1 are read', () => {
  const restored = new Ledger();
  restored.restore(readFileSync(`${FIXTURES}/snapshot-v1.bin`));
  const replayed = new Ledger();
  const commands = JSON.parse(readFileSync(`${FIXTURES}/commands-v1.json`, 'utf8')) as string[];
  commands.forEach((command, index) => {
    replayed.apply(index + 1, Buffer.from(command, 'base64'));
  });
  for (const ledger of [restored, replayed]) {
    assert.equal(ledger.feed.revision, 1);
    assert.equal(ledger.feed.fence, 1);
    assert.equal(ledger.feed.keys[0]?.workspace, 'acme');
    assert.equal(ledger.marks.markOf(asId('inc-1')), 1);
    assert.equal(ledger.windows.openLines[0]?.work.inputTokens, 10);
  }
});

test('a backup is restored only into a new group, and its numbers are increased', () => {
  const { ledger, apply, configure } = createHarness();
  apply({ type: 'fence', at: 1, replica: 'a' });
  configure(0);
  const parts = splitBackup(ledger.snapshot(), 5);
  assertRefused(apply(parts[0] as Command), ledgerCodes.restoreRefused);
  const fresh = createHarness();
  fresh.apply({ type: 'fence', at: 1, replica: 'a' });
  parts.forEach((part) => assert.equal(fresh.apply(part).type, 'done'));
  assert.ok(fresh.ledger.feed.fence > ledger.feed.fence);
  assert.ok(fresh.ledger.feed.revision > ledger.feed.revision);
  assert.ok(fresh.ledger.feed.index > ledger.feed.index);
  assert.deepEqual(fresh.ledger.feed.configuration, ledger.feed.configuration);
  assert.equal(fresh.configure(fresh.ledger.feed.revision).type, 'done');
});
