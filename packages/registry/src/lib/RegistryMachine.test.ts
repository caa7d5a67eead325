import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Packr, Unpackr } from 'msgpackr';
import { RegistryMachine, encodeCommand, type RegistryCommand } from './RegistryMachine';

const unpackr = new Unpackr({ useRecords: false });

function apply(machine: RegistryMachine, command: RegistryCommand): unknown {
  return unpackr.unpack(machine.apply(1, encodeCommand(command)));
}

function configure(version: number, text: string): RegistryCommand {
  return { type: 'configure', version, body: Buffer.from(text) };
}

function storedText(machine: RegistryMachine): string {
  return Buffer.from(machine.configuration?.body ?? []).toString();
}

test('the highest version wins, whatever the order of arrival', () => {
  const machine = new RegistryMachine();
  assert.deepEqual(apply(machine, configure(7, 'seven')), { isStored: true, version: 7 });
  assert.deepEqual(apply(machine, configure(3, 'three')), { isStored: false, version: 7 });
  assert.equal(storedText(machine), 'seven');
});

test('a different document with the current version is ignored', () => {
  const machine = new RegistryMachine();
  apply(machine, configure(7, 'seven'));
  assert.deepEqual(apply(machine, configure(7, 'other')), { isStored: false, version: 7 });
  assert.equal(storedText(machine), 'seven');
});

test('the first counts of a window are kept', () => {
  const machine = new RegistryMachine();
  const close = (counts: string) => apply(machine, { type: 'closeWindow', window: 12, counts });
  assert.equal(close('{"a":1}'), '{"a":1}');
  assert.equal(close('{"a":2}'), '{"a":1}');
  assert.equal(machine.lastClosedWindow, 12);
});

test('a snapshot restores configuration and windows', () => {
  const machine = new RegistryMachine();
  apply(machine, configure(7, 'seven'));
  apply(machine, { type: 'closeWindow', window: 12, counts: '{}' });
  const restored = new RegistryMachine();
  restored.restore(machine.snapshot());
  assert.equal(storedText(restored), 'seven');
  assert.deepEqual([...restored.windows], [[12, '{}']]);
});

test('evacuations are restored from a snapshot, and each change is announced', () => {
  const machine = new RegistryMachine();
  const announced: number[] = [];
  machine.onEvacuations = ({ revision }) => announced.push(revision);
  const order = { type: 'evacuate', dataCentre: 'a', isEvacuated: true, basis: 0 } as const;
  assert.deepEqual(apply(machine, order), { result: 'inForce', revision: 1 });
  assert.deepEqual(apply(machine, order), { result: 'inForce', revision: 1 });
  assert.deepEqual(announced, [1]);
  const restored = new RegistryMachine();
  restored.restore(machine.snapshot());
  assert.deepEqual(restored.evacuations, { revision: 1, dataCentres: ['a'] });
});

test('a snapshot of an earlier version, without evacuations, is restored', () => {
  const packr = new Packr({ useRecords: false });
  const configuration = { version: 7, body: Buffer.from('seven') };
  const machine = new RegistryMachine();
  machine.restore(packr.pack({ format: 1, configuration, windows: [[12, '{}']] }));
  assert.equal(storedText(machine), 'seven');
  assert.deepEqual([...machine.windows], [[12, '{}']]);
  assert.deepEqual(machine.evacuations, { revision: 0, dataCentres: [] });
});
