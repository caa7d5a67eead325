import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EndpointColdness } from './EndpointColdness';

const START = { durationMs: 3000, requestsPerS: 17 };

/** Time for which an endpoint counts as cold after an event: that of the pool, and the lag of the list. */
const HOLD_MS = 5000;

const createColdness = (): EndpointColdness => new EndpointColdness(() => START);

test('an endpoint of a pool without cold starts is never cold', () => {
  const coldness = new EndpointColdness(() => undefined);
  coldness.mayHaveStarted(0);
  coldness.observeList(3000, 0);
  coldness.setEjected(true, 0);
  assert.equal(coldness.requestsPerS(1), Infinity);
  assert.ok(!coldness.isCold(1));
  assert.equal(coldness.remainingMs(1), 0);
});

test('an endpoint is cold for the time that the list states', () => {
  const coldness = createColdness();
  coldness.observeList(1200, 0);
  assert.equal(coldness.remainingMs(200), 1000);
  assert.ok(coldness.requestsPerS(200) <= 0.7 * START.requestsPerS);
  assert.equal(coldness.requestsPerS(1200), Infinity);
});

test('a list that states nothing ends nothing, since the list lags', () => {
  const coldness = createColdness();
  coldness.mayHaveStarted(0);
  for (let now = 0; now < HOLD_MS; now += 1000) {
    coldness.observeList(undefined, now);
    assert.equal(coldness.remainingMs(now), HOLD_MS - now);
  }
  assert.equal(coldness.remainingMs(HOLD_MS), 0);
});

test('a list that may be older than the event ends nothing, and one that is certainly newer does', () => {
  const coldness = createColdness();
  coldness.mayHaveStarted(0);
  coldness.observeList(0, 2000);
  assert.ok(coldness.remainingMs(2000) > 0);
  coldness.observeList(0, 4000);
  assert.equal(coldness.remainingMs(4000), 0);
});

test('an endpoint counts as cold while it is ejected, and after its return', () => {
  const coldness = createColdness();
  coldness.setEjected(true, 0);
  assert.ok(coldness.remainingMs(60_000) > 0);
  coldness.observeList(0, 60_000);
  assert.ok(coldness.remainingMs(60_000) > 0);
  coldness.setEjected(false, 60_000);
  coldness.setEjected(false, 62_000);
  assert.equal(coldness.remainingMs(64_000), 1000);
});

test('a response of the endpoint to a request sent after the event holds', () => {
  const coldness = createColdness();
  coldness.mayHaveStarted(1000);
  coldness.observeResponse(0, 900, 1100);
  assert.ok(coldness.remainingMs(1100) > 0);
  coldness.observeResponse(700, 1200, 1300);
  assert.equal(coldness.remainingMs(1300), 700);
});

test('an absurd remaining time is cut to that of the pool', () => {
  const coldness = createColdness();
  coldness.observeList(1e12, 0);
  coldness.learn(1e12, 0);
  assert.equal(coldness.remainingMs(0), HOLD_MS);
  coldness.observeList(-5, 10);
  assert.ok(coldness.remainingMs(10) >= 0);
});
