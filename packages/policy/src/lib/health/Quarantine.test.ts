import assert from 'node:assert/strict';
import test from 'node:test';
import { asId } from '@berylwood/base';
import type { EndpointId } from '@berylwood/schema';
import fc from 'fast-check';
import { Quarantine } from './Quarantine';

const endpoints: EndpointId[] = ['e1', 'e2', 'e3', 'e4'].map((name) => asId(name));
const [e1, e2] = endpoints as [EndpointId, EndpointId];

test('two crashes quarantine a fingerprint for a limited time', () => {
  const quarantine = new Quarantine({ holdMs: 1_000 });
  quarantine.sent('poison', e1, 0);
  quarantine.crashed(e1, ['poison', 'innocent'], 0);
  assert.equal(quarantine.stateOf('poison', 0), 'suspect');
  quarantine.sent('poison', e2, 10);
  quarantine.crashed(e2, ['poison'], 10);
  assert.equal(quarantine.stateOf('poison', 10), 'quarantined');
  assert.equal(quarantine.mayRun('poison', e1, 10), false);
  assert.equal(quarantine.holdMs('poison', 10), 1_000);
  assert.equal(quarantine.stateOf('poison', 1_010), 'unknown');
});

test('one run to completion clears an innocent suspect', () => {
  const quarantine = new Quarantine();
  quarantine.crashed(e1, ['innocent'], 0);
  quarantine.sent('innocent', e2, 1);
  quarantine.ended('innocent', e2, true);
  assert.equal(quarantine.stateOf('innocent', 2), 'cleared');
});

test('crashes reported by another process are merged unless they have expired', () => {
  const quarantine = new Quarantine();
  quarantine.mergeRemoteCrashes('poison', 2, 5_000, 0);
  assert.equal(quarantine.holdMs('poison', 0), 5_000);
  quarantine.mergeRemoteCrashes('other', 2, 0, 10);
  assert.equal(quarantine.stateOf('other', 10), 'unknown');
});

test('a full table accepts no unknown fingerprint until an entry expires', () => {
  const quarantine = new Quarantine({ capacity: 1 });
  quarantine.crashed(e1, ['suspect'], 0);
  assert.equal(quarantine.mayRun('unknown', e1, 0), false);
  assert.equal(quarantine.mayRun('unknown', e1, 10_000_000), true);
});

test('one fingerprint crashes at most two endpoints, in any order of sends and crashes', () => {
  const step = fc.tuple(fc.boolean(), fc.integer({ min: 0, max: endpoints.length - 1 }));
  fc.assert(
    fc.property(fc.array(step, { maxLength: 50 }), (steps) => {
      const quarantine = new Quarantine();
      const running = new Set<EndpointId>();
      const crashed = new Set<EndpointId>();
      steps.forEach(([isSend, index], now) => {
        const endpoint = endpoints[index] as EndpointId;
        if (isSend && quarantine.mayRun('poison', endpoint, now)) {
          quarantine.sent('poison', endpoint, now);
          running.add(endpoint);
        } else if (!isSend && running.delete(endpoint)) {
          quarantine.crashed(endpoint, ['poison'], now);
          crashed.add(endpoint);
        }
        assert.ok(crashed.size <= 2);
      });
    }),
    { seed: 1 },
  );
});
