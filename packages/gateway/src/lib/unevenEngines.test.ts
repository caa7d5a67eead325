import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Metrics, Random, VirtualTimer, asId, createSilentJournal } from '@berylwood/base';
import { EndpointDirectory } from './EndpointDirectory';
import { EngineModel } from './EngineModel';
import type { GatewayContext } from './GatewayContext';
import { placeRequest } from './placeRequest';
import type { ResolvedRequest } from './resolveRequest';
import { StreamEngines } from './StreamEngines';

const POOL = asId<'pool'>('pool');

/** Two endpoints and requests for them, to a pool of engines or a plain service. */
function createPool(isEngine: boolean) {
  const timer = new VirtualTimer();
  const random = new Random(1);
  const directory = new EndpointDirectory(timer, createSilentJournal(timer), random);
  directory.replace(
    [0, 1].map((number) => ({
      id: asId<'endpoint'>(`e-${number}`),
      pool: POOL,
      address: asId<'address'>(`127.0.0.1:${number + 1}`),
      dataCentre: 'a',
      slots: 4,
      isDraining: false,
    })),
  );
  const engines = new EngineModel(directory, timer);
  const streamEngines = new StreamEngines({ directory, timer, metrics: new Metrics() });
  const parts = { directory, random, dataCentre: 'a', engines, streamEngines };
  const context = parts as unknown as GatewayContext;
  const engine = isEngine ? { slots: 4, kvCacheTokens: 100_000 } : undefined;
  const resolved = {
    target: POOL,
    rank: 0,
    route: { hasAffinity: isEngine },
    table: { findPool: () => ({ engine }) },
    metadata: { prompt: [], promptTokens: 2000, answerTokens: 50, expectedTokens: undefined },
  } as unknown as ResolvedRequest;
  const place = () =>
    placeRequest(context, resolved, { tried: new Set(), binding: { allows: () => true } });
  const [first, second] = directory.endpointsOf(POOL);
  assert.ok(first && second);
  return { timer, engines, first, second, place };
}

// Guards against a figure that is decoded but never reaches the choice.
test('an engine that states that it is slow gets no request for a short time', () => {
  const { timer, first, place } = createPool(true);
  first.observeLoad({ running: 0, waiting: 0, slots: 4, momentaryPercent: 250 });
  for (let turn = 0; turn < 30; turn += 1) assert.equal(place()?.endpoint.listed.id, 'e-1');
  timer.advance(600);
  const placed = new Set(Array.from({ length: 30 }, () => place()?.endpoint.listed.id));
  assert.equal(placed.size, 2);
});

test('the load of a plain service counts by the figure that it states', () => {
  const { first, second, place } = createPool(false);
  first.attemptStarted();
  second.attemptStarted();
  first.observeLoad({ running: 1, waiting: 0, slots: 4, momentaryPercent: 250 });
  for (let turn = 0; turn < 30; turn += 1) assert.equal(place()?.endpoint.listed.id, 'e-1');
});

// Guards against estimates that are learnt but not used, and against admission by them.
test('the expected time of a prefill is the learnt one, beside that of the data sheet', () => {
  const { timer, engines, first, second, place } = createPool(true);
  for (let turn = 0; turn < 40; turn += 1) {
    const prefill = { tokens: 9190, ownTokens: 9190, dataSheetMs: 139, momentary: 1 };
    for (const endpoint of [first, second])
      engines.observePrefill(endpoint, { ...prefill, observedMs: 3 * 139 });
  }
  timer.advance(500);
  const placement = place();
  const dataSheetMs = (2000 * 15.5) / 1024;
  assert.equal(placement?.prefillMs, dataSheetMs);
  assert.ok(Math.abs((placement?.expectedMs ?? 0) - 3 * dataSheetMs) < 3);
  assert.equal(placement?.queuedTokens, 2000);
});
