import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Metrics, VirtualTimer, createSilentJournal } from '@berylwood/base';
import fc from 'fast-check';
import { Evacuations } from './Evacuations';

function createEvacuations() {
  const journal = createSilentJournal(new VirtualTimer());
  const evacuations = new Evacuations(journal, new Metrics());
  const ended: string[] = [];
  evacuations.onEnded = (dataCentre) => ended.push(dataCentre);
  return { evacuations, ended, events: () => journal.recent().map(({ name }) => name) };
}

test('the start and the end of an evacuation are each logged once, and the end is announced', () => {
  const { evacuations, ended, events } = createEvacuations();
  evacuations.apply({ revision: 1, dataCentres: ['a'] });
  evacuations.apply({ revision: 1, dataCentres: ['a'] });
  assert.ok(evacuations.has('a') && !evacuations.has('b'));
  evacuations.apply({ revision: 2, dataCentres: ['b'] });
  assert.ok(evacuations.has('b') && !evacuations.has('a'));
  assert.deepEqual(ended, ['a']);
  assert.deepEqual(events(), ['evacuationStarted', 'evacuationStarted', 'evacuationEnded']);
});

test('the endpoints are in service again when the end of their evacuation is announced', () => {
  const { evacuations } = createEvacuations();
  let wasEvacuated = true;
  evacuations.onEnded = (dataCentre) => {
    wasEvacuated = evacuations.has(dataCentre);
  };
  evacuations.apply({ revision: 1, dataCentres: ['a'] });
  evacuations.apply({ revision: 2, dataCentres: [] });
  assert.equal(wasEvacuated, false);
});

test('no order of repeated and delayed states brings back an older one', () => {
  const states = fc.array(fc.subarray(['a', 'b', 'c']), { minLength: 1, maxLength: 8 });
  const picks = fc.array(fc.nat(), { minLength: 1, maxLength: 40 });
  const property = fc.property(states, picks, (log, order) => {
    const { evacuations } = createEvacuations();
    let newest = -1;
    for (const pick of order) {
      const at = pick % log.length;
      newest = Math.max(newest, at);
      evacuations.apply({ revision: at + 1, dataCentres: log[at] as string[] });
      const evacuated = ['a', 'b', 'c'].filter((dataCentre) => evacuations.has(dataCentre));
      assert.deepEqual(evacuated, log[newest]);
    }
  });
  fc.assert(property, { numRuns: 500, seed: 1 });
});
