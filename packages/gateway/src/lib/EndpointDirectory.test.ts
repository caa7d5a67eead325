import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random, VirtualTimer, createSilentJournal } from '@berylwood/base';
import { FLEET_POOL, listedEndpoint } from '../fixtures/virtualFleet';
import { decodeListedEndpoints } from './decodeListedEndpoints';
import { EndpointDirectory } from './EndpointDirectory';

function createDirectory() {
  const timer = new VirtualTimer();
  const directory = new EndpointDirectory(timer, createSilentJournal(timer), new Random(1));
  directory.coldStart = () => ({ durationMs: 3000, requestsPerS: 17 });
  const isCold = (): boolean[] =>
    directory.endpointsOf(FLEET_POOL).map(({ statements }) => statements.isCold);
  return { timer, directory, isCold };
}

test('the first list after the start of an instance counts as it states, a new entry later as cold', () => {
  const { directory, isCold } = createDirectory();
  directory.replace([listedEndpoint('e-1'), { ...listedEndpoint('e-2'), coldRemainingMs: 900 }]);
  assert.deepEqual(isCold(), [false, true]);
  directory.replace([listedEndpoint('e-1'), listedEndpoint('e-3')]);
  assert.deepEqual(isCold(), [false, true]);
});

test('an endpoint is cold again after it was absent, was draining, or was another incarnation', () => {
  const { timer, directory, isCold } = createDirectory();
  const entry = listedEndpoint('e-1');
  directory.replace([entry]);
  directory.replace([]);
  directory.replace([entry]);
  assert.deepEqual(isCold(), [true]);
  timer.advance(10_000);
  directory.replace([{ ...entry, isDraining: true }]);
  assert.deepEqual(isCold(), [false]);
  directory.replace([entry]);
  assert.deepEqual(isCold(), [true]);
  timer.advance(10_000);
  directory.endpointsOf(FLEET_POOL)[0]?.refused(true);
  assert.deepEqual(isCold(), [true]);
});

test('endpoints of a data centre that is in service again are cold, and no others', () => {
  const { directory, isCold } = createDirectory();
  directory.replace([listedEndpoint('e-1'), { ...listedEndpoint('e-2'), dataCentre: 'b' }]);
  directory.dataCentreReturned('b');
  assert.deepEqual(isCold(), [false, true]);
});

test('the time for which an endpoint is cold passes through the list that the leader publishes', () => {
  const entry = { ...listedEndpoint('e-1'), coldRemainingMs: 900 };
  const published = JSON.parse(JSON.stringify([entry, listedEndpoint('e-2')])) as unknown;
  const { endpoints } = decodeListedEndpoints(published)._unsafeUnwrap();
  const decoded = endpoints.map(({ coldRemainingMs }) => coldRemainingMs);
  assert.deepEqual(decoded, [900, undefined]);
});
