import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { VirtualTimer, createSilentJournal } from '@berylwood/base';
import { ContentQuarantine, type Suspicion } from '@berylwood/policy';
import { SuspicionSharing } from './SuspicionSharing';

/** Longer than the interval at which suspicions are sent, in milliseconds. */
const SHARED_MS = 100;

const DEADLY: Suspicion = ['pool/part/a', 0, ['1', '2', '3']];

function createSharing(t: TestContext) {
  const timer = new VirtualTimer();
  const quarantine = new ContentQuarantine();
  const sent: (readonly unknown[])[] = [];
  const forwarded: (readonly unknown[])[] = [];
  const mesh = {
    suspicions: (): readonly unknown[] => [],
    onSuspicions: (_value: unknown): void => {},
    sendSuspicions: (items: readonly unknown[]) => sent.push(items),
    forwardSuspicions: (items: readonly unknown[]) => forwarded.push(items),
  };
  const journal = createSilentJournal(timer);
  const sharing = new SuspicionSharing({ quarantine, mesh, timer, journal });
  t.after(() => sharing[Symbol.dispose]());
  return { timer, quarantine, mesh, sent, forwarded };
}

test('own suspicions are sent once, received ones are forwarded once', (t) => {
  const { timer, quarantine, mesh, sent, forwarded } = createSharing(t);
  const [suspicion] = quarantine.suspicionsOf(['own'], 0);
  assert.ok(suspicion);
  quarantine.crashed([{ suspicion, witness: '1' }], 0);
  mesh.onSuspicions([DEADLY]);
  mesh.onSuspicions([DEADLY]);
  timer.advance(SHARED_MS);
  assert.deepEqual(sent, [[['own', 0, ['1']]]]);
  assert.deepEqual(forwarded, [[DEADLY]]);
  timer.advance(SHARED_MS);
  assert.equal(sent.length + forwarded.length, 2);
});

test('an instance that connects gets what is suspect', (t) => {
  const { mesh } = createSharing(t);
  mesh.onSuspicions([DEADLY]);
  assert.deepEqual(mesh.suspicions(), [DEADLY]);
});

test('suspicions that cannot be read change nothing', (t) => {
  const { quarantine, mesh } = createSharing(t);
  const invalid: unknown[] = [
    'text',
    [['a']],
    [[1, 0, ['w']]],
    [['a', -1, ['w']]],
    [['a', 0, 'w']],
    [['a', 0, [1]]],
    [['a'.repeat(10_000), 0, ['w']]],
    [DEADLY, ['a', 0, Array.from({ length: 100 }, () => 'w')]],
  ];
  for (const value of invalid) mesh.onSuspicions(value);
  assert.equal(quarantine.size, 0);
});
