import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { checkLinearizable, type HistoryOperation } from './checkLinearizable';
import { registerSpecification, type RegisterAction } from './registerSpecification';

type Operation = HistoryOperation<RegisterAction>;

function write(value: number, startedAt: number, endedAt: number, output?: number): Operation {
  return { action: { type: 'write', value }, startedAt, endedAt, output };
}

function read(output: number, startedAt: number, endedAt: number): Operation {
  return { action: { type: 'read' }, startedAt, endedAt, output };
}

function swap(expected: number, value: number, output: number, times: number[]): Operation {
  const [startedAt = 0, endedAt = 0] = times;
  return { action: { type: 'swap', expected, value }, startedAt, endedAt, output };
}

const good: Record<string, Operation[]> = {
  'operations one after another': [write(1, 0, 1, 0), read(1, 2, 3), swap(1, 2, 1, [4, 5])],
  'a read beside a write sees either value': [write(1, 0, 9, 0), read(0, 1, 2), read(1, 3, 4)],
  'an unknown write may take effect late': [write(1, 0, Infinity), read(0, 1, 2), read(1, 3, 4)],
  'an unknown write may never take effect': [write(1, 0, Infinity), read(0, 1, 2), read(0, 3, 4)],
  'concurrent swaps of which one wins': [swap(0, 1, 0, [0, 5]), swap(0, 2, 1, [0, 5])],
};

const bad: Record<string, Operation[]> = {
  'a stale read after a write': [write(1, 0, 1, 0), read(0, 2, 3)],
  'a value that nobody wrote': [read(5, 0, 1)],
  'a value that comes back': [write(1, 0, 9), read(1, 1, 2), read(0, 3, 4)],
  'two swaps that both win': [swap(0, 1, 0, [0, 5]), swap(0, 2, 0, [0, 5])],
  'an unknown write that takes effect before it began': [read(1, 0, 1), write(1, 2, Infinity)],
};

for (const [name, history] of Object.entries(good)) {
  test(`accepts ${name}`, () => assert.ok(checkLinearizable(history, registerSpecification)));
}

for (const [name, history] of Object.entries(bad)) {
  test(`refuses ${name}`, () => assert.ok(!checkLinearizable(history, registerSpecification)));
}

test('accepts any history made from points in time, and refuses it with a changed output', () => {
  const action = fc.record({
    kind: fc.nat(2),
    value: fc.nat(3),
    before: fc.nat(40),
    after: fc.nat(40),
  });
  const property = fc.property(fc.array(action, { minLength: 1, maxLength: 12 }), (items) => {
    let state = registerSpecification.initial;
    const history = items.map(({ kind, value, before, after }, position): Operation => {
      const types = ['read', 'write', 'swap'] as const;
      const type = types[kind] ?? 'read';
      const made: RegisterAction = { type, value, expected: 1 };
      const next = registerSpecification.step(state, made);
      state = next.state;
      const at = position * 10;
      return { action: made, startedAt: at - before, endedAt: at + after, output: next.output };
    });
    assert.ok(checkLinearizable(history, registerSpecification));
    const changed = history.map((item, i) => (i === 0 ? { ...item, output: 99 } : item));
    assert.ok(!checkLinearizable(changed, registerSpecification));
  });
  fc.assert(property, { seed: 1, numRuns: 300 });
});
