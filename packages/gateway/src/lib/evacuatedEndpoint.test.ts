import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  Metrics,
  Random,
  VirtualTimer,
  asId,
  createSilentJournal,
  type Failure,
} from '@berylwood/base';
import { EndpointDirectory } from './EndpointDirectory';
import { Evacuations } from './Evacuations';
import type { GatewayContext } from './GatewayContext';
import { HeldRequests } from './HeldRequests';
import { placeRequest } from './placeRequest';
import type { ResolvedRequest } from './resolveRequest';

const POOL = asId<'pool'>('pool');

const binding = { allows: (): boolean => true };

const REQUEST = {
  target: POOL,
  rank: 0,
  workspace: { name: 'w' },
  route: { objectiveMs: 1000, hasAffinity: false },
  metadata: { attempt: 'a-1' },
  table: { findPool: () => undefined },
} as unknown as ResolvedRequest;

/** A pool with two endpoints in data centre `a`, which accept no request now, and one in `b`. */
function createPool() {
  const timer = new VirtualTimer();
  const journal = createSilentJournal(timer);
  const metrics = new Metrics();
  const random = new Random(1);
  const directory = new EndpointDirectory(timer, journal, random);
  const evacuations = new Evacuations(journal, metrics);
  directory.isEvacuated = (dataCentre) => evacuations.has(dataCentre);
  directory.hasPermitLeader = () => true;
  const list = (dataCentres: readonly string[]): void =>
    directory.replace(
      dataCentres.map((dataCentre, at) => ({
        id: asId<'endpoint'>(`e-${at}`),
        pool: POOL,
        address: asId<'address'>(`127.0.0.1:${at + 1}`),
        dataCentre,
        slots: 4,
        isDraining: false,
      })),
    );
  list(['a', 'a', 'b']);
  const held = new HeldRequests({ directory, timer, journal, metrics });
  evacuations.onChanged = () => {
    directory.updateEvacuations();
    held.rejectUnservable();
  };
  const context = { directory, random, held, dataCentre: 'a' } as unknown as GatewayContext;
  const place = (): string | undefined =>
    placeRequest(context, REQUEST, { tried: new Set(), binding })?.endpoint.listed.dataCentre;
  const limit = (requestsPerS: number): void => {
    const conditions = { requestsPerS, isLeaving: false, pauseMs: undefined, invalid: [] };
    for (const { statements } of directory.endpointsOf(POOL))
      statements.observe(conditions, undefined, timer.now());
  };
  return { timer, directory, evacuations, held, list, place, limit };
}

function holdRequest(held: HeldRequests) {
  const state = { isPlaced: false, failures: [] as Failure[] };
  held.hold({
    resolved: REQUEST,
    leftMs: 10_000,
    triedEndpoints: new Set(),
    allows: () => true,
    onTurn: () => {
      state.isPlaced = true;
    },
    onRejected: (failure) => {
      state.failures.push(failure);
    },
  });
  return state;
}

test('no request is placed in an evacuated data centre, also not at endpoints listed later', () => {
  const { evacuations, place, list } = createPool();
  evacuations.apply({ revision: 1, dataCentres: ['a'] });
  list(['a', 'a', 'b', 'a']);
  const places = new Set(Array.from({ length: 50 }, place));
  assert.deepEqual([...places], ['b']);
  evacuations.apply({ revision: 2, dataCentres: ['a', 'b'] });
  assert.equal(place(), undefined);
  evacuations.apply({ revision: 3, dataCentres: ['b'] });
  assert.equal(place(), 'a');
});

test('a waiting request is rejected at once when all endpoints of its pool are evacuated', () => {
  const { evacuations, held, limit } = createPool();
  limit(10);
  const request = holdRequest(held);
  assert.equal(request.failures.length, 0);
  evacuations.apply({ revision: 1, dataCentres: ['a', 'b'] });
  assert.equal(request.failures[0]?.code.name, 'noEndpoint');
  assert.equal(held.size, 0);
  assert.equal(holdRequest(held).failures[0]?.code.name, 'noEndpoint');
});

test('a waiting request is placed elsewhere, and not by a permit of an evacuated endpoint', () => {
  const { evacuations, held, limit, timer, directory } = createPool();
  limit(10);
  const request = holdRequest(held);
  evacuations.apply({ revision: 1, dataCentres: ['a'] });
  const [first, , last] = directory.endpointsOf(POOL);
  first?.statements.permits.grant(1, timer.now());
  timer.advance(50);
  assert.deepEqual(request, { isPlaced: false, failures: [] });
  last?.statements.permits.grant(1, timer.now());
  timer.advance(50);
  assert.equal(request.isPlaced, true);
});
