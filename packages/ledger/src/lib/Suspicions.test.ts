import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Suspicions, SUSPICION_MS } from './Suspicions';

test('two crashes quarantine a fingerprint; several reports of one crash count once', () => {
  const suspicions = new Suspicions();
  suspicions.suspect(['a', 'b'], 'crash-1', 0);
  assert.deepEqual(suspicions.suspect(['a', 'b'], 'crash-1', 1)._unsafeUnwrap(), []);
  const [changed] = suspicions.suspect(['a'], 'crash-2', 2)._unsafeUnwrap();
  assert.deepEqual(changed, { fingerprint: 'a', crashes: 2, untilMs: 2 + SUSPICION_MS });
});

test('a completed run clears a suspicion after one crash, but not a quarantine', () => {
  const suspicions = new Suspicions();
  suspicions.suspect(['poison', 'innocent'], 'crash-1', 0);
  suspicions.suspect(['poison'], 'crash-2', 1);
  assert.equal(suspicions.clear('innocent', 2)[0]?.crashes, 0);
  assert.deepEqual(suspicions.clear('poison', 2), []);
});

test('a quarantine expires, and its end is published', () => {
  const suspicions = new Suspicions();
  suspicions.suspect(['poison'], 'crash-1', 0);
  suspicions.suspect(['poison'], 'crash-2', 1);
  const ended = suspicions.clear('other', SUSPICION_MS + 1);
  assert.deepEqual(ended, [{ fingerprint: 'poison', crashes: 0, untilMs: 0 }]);
});
