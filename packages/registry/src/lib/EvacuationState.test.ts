import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  MAX_DATA_CENTRE_LENGTH,
  MAX_EVACUATED_DATA_CENTRES,
  NO_EVACUATIONS,
  applyOrder,
  dataCentreSchema,
  type EvacuationState,
} from './EvacuationState';

const start = (dataCentre: string, basis: number) => ({ dataCentre, isEvacuated: true, basis });

const end = (dataCentre: string, basis: number) => ({ dataCentre, isEvacuated: false, basis });

test('orders start and end evacuations, each with a higher revision', () => {
  const first = applyOrder(NO_EVACUATIONS, 5, start('a', 0)).state;
  assert.deepEqual(first, { revision: 5, dataCentres: ['a'] });
  const second = applyOrder(first, 8, start('b', 5)).state;
  assert.deepEqual(second, { revision: 8, dataCentres: ['a', 'b'] });
  assert.deepEqual(applyOrder(second, 9, end('a', 8)).state, { revision: 9, dataCentres: ['b'] });
});

test('a repeated order is in force and changes nothing, whatever its basis', () => {
  const state: EvacuationState = { revision: 5, dataCentres: ['a'] };
  assert.deepEqual(applyOrder(state, 6, start('a', 0)), { state, result: 'inForce' });
  assert.deepEqual(applyOrder(state, 7, end('b', 0)), { state, result: 'inForce' });
});

test('a delayed copy of an order does not undo a later order', () => {
  const delayed = start('a', 0);
  const started = applyOrder(NO_EVACUATIONS, 5, start('a', 0)).state;
  const ended = applyOrder(started, 6, end('a', 5)).state;
  assert.deepEqual(applyOrder(ended, 7, delayed), { state: ended, result: 'outdated' });
});

test('the revision exceeds one that instances remember from a lost log', () => {
  const { state } = applyOrder(NO_EVACUATIONS, 3, start('a', 900));
  assert.deepEqual(state, { revision: 901, dataCentres: ['a'] });
});

test('the number of evacuated data centres and the length of their names are limited', () => {
  const dataCentres = Array.from({ length: MAX_EVACUATED_DATA_CENTRES }, (_, at) => `z-${at}`);
  const state = { revision: 9, dataCentres };
  assert.deepEqual(applyOrder(state, 10, start('a', 9)), { state, result: 'tooMany' });
  assert.equal(applyOrder(state, 10, end('z-0', 9)).state.dataCentres.length, 63);
  const isValid = (name: string): boolean => dataCentreSchema.safeParse(name).success;
  assert.ok(isValid('z'.repeat(MAX_DATA_CENTRE_LENGTH)));
  assert.ok(isValid('\u{1F3E2}'.repeat(MAX_DATA_CENTRE_LENGTH)));
  assert.ok(!isValid('z'.repeat(MAX_DATA_CENTRE_LENGTH + 1)) && !isValid(''));
});
