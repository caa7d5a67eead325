import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualTimer } from '@berylwood/base';
import fc from 'fast-check';
import { AddressBook } from './AddressBook';

test('an instance with seeds that run no replica gets addresses from peers that dial it', () => {
  const timer = new VirtualTimer();
  const seeds = () => ['10.0.0.8:1', '10.0.0.9:1'];
  const book = new AddressBook({ address: '10.0.0.9:1', seeds, registry: undefined, timer });
  assert.deepEqual([...book.dialTargets], ['10.0.0.8:1']);
  book.addMembers(['10.0.0.1:1']);
  assert.deepEqual([...book.dialTargets], ['10.0.0.8:1', '10.0.0.1:1']);
  assert.deepEqual(book.members, ['10.0.0.1:1']);
});

test('members of the own replica take precedence over received addresses', () => {
  const timer = new VirtualTimer();
  const registry = { members: ['10.0.0.1:1'] };
  const book = new AddressBook({ address: '10.0.0.1:1', seeds: () => [], registry, timer });
  book.addMembers(['10.0.0.7:1']);
  assert.deepEqual(book.members, ['10.0.0.1:1']);
  assert.deepEqual([...book.dialTargets], ['10.0.0.7:1']);
});

// Guards against a peer that ends this process with an address that cannot be dialled.
test('received addresses that cannot be dialled are ignored', () => {
  const property = fc.property(fc.array(fc.string({ unit: 'binary' })), (members) => {
    const timer = new VirtualTimer();
    const book = new AddressBook({ address: 'a', seeds: () => [], registry: undefined, timer });
    book.addMembers([...members, '10.0.0.1:99999', '10.0.0.1:0', '10.0.0.1:1']);
    assert.deepEqual([...book.dialTargets], ['10.0.0.1:1']);
  });
  fc.assert(property, { seed: 1 });
});
