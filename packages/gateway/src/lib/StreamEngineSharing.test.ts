import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Journal, Metrics, Random, VirtualTimer, asId } from '@berylwood/base';
import { createRoute } from '../fixtures/fleetLoad';
import { EndpointDirectory } from './EndpointDirectory';
import { gatewayEvents } from './events';
import { RoutingTable } from './RoutingTable';
import { StreamEngineSharing } from './StreamEngineSharing';
import { StreamEngines } from './StreamEngines';

const POOL = asId<'pool'>('pool');

const ROUND_MS = 100;

function createInstance(isLeader: boolean) {
  const timer = new VirtualTimer();
  const lines: { readonly event: number }[] = [];
  const journal = new Journal({ process: 'test', incarnation: 'test-1', timer, level: 'silent' });
  journal.record = ({ number }) => {
    lines.push({ event: number });
  };
  const metrics = new Metrics();
  const directory = new EndpointDirectory(timer, journal, new Random(1));
  directory.replace(
    Array.from({ length: 12 }, (_, number) => ({
      ...{ id: asId<'endpoint'>(`e-${number}`), pool: POOL, dataCentre: 'a', slots: 64 },
      ...{ address: asId<'address'>(`127.0.0.1:${number + 1}`), isDraining: false },
    })),
  );
  const table = new RoutingTable({
    version: 1,
    routes: [createRoute('tight', 0, 400, 300), createRoute('long', 1, 2000, 1200)],
    pools: [
      ...['pool', 'plain'].map((name) => ({
        ...{ name: asId<'pool'>(name), healthPath: '/', maxConnections: 1000 },
        engine: name === 'pool' ? { slots: 64, kvCacheTokens: 1000 } : undefined,
      })),
    ],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    workspaces: undefined,
  });
  const streams = new StreamEngines({ directory, timer, metrics });
  const sharing = new StreamEngineSharing({
    ...{ directory, timer, journal, metrics, streams, mesh: { isLeader } },
    table: () => table,
  });
  const count = (event: { readonly number: number }): number =>
    lines.filter(({ event: number }) => number === event.number).length;
  const { attachments } = sharing;
  return { timer, streams, sharing, attachments, metrics, count };
}

/** A report of one instance with light prompts, so that its running streams decide the number. */
const reportOf = (running: number, eventMs = 290, pool = 'pool') => ({
  streamEngines: [[pool, running, 1000, 20_000, [eventMs, 30], [35, 30]]],
});

test('the leader sums the demand of all instances and sends them its decision', () => {
  const leader = createInstance(true);
  const other = createInstance(false);
  for (let round = 0; round < 10; round += 1) {
    for (const name of ['a', 'b', 'c']) leader.attachments.receiveReport(name, reportOf(32));
    leader.sharing.startRound();
    leader.timer.advance(ROUND_MS);
  }
  other.attachments.receiveUpdate(leader.attachments.createUpdate('b'));
  const { split } = other.streams.poolOf(POOL);
  assert.deepEqual(split, leader.streams.poolOf(POOL).split);
  assert.equal(split.pauseMs, 300);
  // 96 streams at half of 64 slots, with some headroom.
  assert.equal(split.engines, 4);
});

// Guards against a leader that goes on counting the streams of instances that are gone.
test('reports are used for a second, and the number then shrinks one by one', () => {
  const { timer, sharing, attachments, streams } = createInstance(true);
  for (let round = 0; round < 5; round += 1) {
    attachments.receiveReport('a', reportOf(96));
    sharing.startRound();
    timer.advance(ROUND_MS);
  }
  const { engines } = streams.poolOf(POOL).split;
  for (let round = 0; round < 20; round += 1) {
    sharing.startRound();
    timer.advance(ROUND_MS);
  }
  assert.equal(streams.poolOf(POOL).split.engines, engines);
  for (let round = 0; round < 120; round += 1) {
    sharing.startRound();
    timer.advance(ROUND_MS);
  }
  assert.equal(streams.poolOf(POOL).split.engines, 0);
});

test('what cannot be read changes nothing, and is logged once in ten seconds', () => {
  const { sharing, attachments, streams, timer, count } = createInstance(true);
  const invalid = [
    'text',
    { streamEngines: [['pool', -1, 300, 290, 35]] },
    { streamEngines: [['pool', 3, Infinity, 290, 35]] },
    { streamEngines: [['pool', 3, 300, 290, 0]] },
    { streamEngines: Array.from({ length: 65 }, () => ['pool', 3, 300, 290, 35]) },
  ];
  for (const value of invalid) {
    attachments.receiveUpdate(value);
    attachments.receiveReport('x', value);
  }
  sharing.startRound();
  assert.equal(streams.poolOf(POOL).split.engines, 0);
  assert.equal(count(gatewayEvents.streamEnginesInvalid), 1);
  timer.advance(10_000);
  attachments.receiveUpdate('text');
  assert.equal(count(gatewayEvents.streamEnginesInvalid), 2);
});

test('other keys, and pools without engines or unknown to the configuration, are ignored', () => {
  const { attachments, streams, sharing, count } = createInstance(false);
  attachments.receiveUpdate({ statements: [] });
  for (const pool of ['plain', 'unknown']) {
    attachments.receiveUpdate({ streamEngines: [[pool, 3, 300, 290, 35]] });
    attachments.receiveReport('x', reportOf(96, 290, pool));
  }
  sharing.startRound();
  assert.equal(streams.pools.size, 0);
  assert.equal(attachments.createReport(), undefined);
  assert.equal(count(gatewayEvents.streamEnginesInvalid), 0);
});

// Guards against a log that a demand near a limit fills.
test('a change is logged at most once a second for a pool', () => {
  const { timer, sharing, attachments, count } = createInstance(true);
  for (let round = 0; round < 30; round += 1) {
    attachments.receiveReport('a', reportOf(20 + 10 * round));
    sharing.startRound();
    timer.advance(ROUND_MS);
  }
  const logged = count(gatewayEvents.streamEnginesChanged);
  assert.ok(logged >= 1 && logged <= 3, `${logged} lines in 3 s`);
});

test('the number of stream engines and the learnt duration of an event are metrics', async () => {
  const { sharing, attachments, metrics } = createInstance(false);
  attachments.receiveUpdate({ streamEngines: [['pool', 3, 300, 290, 35]] });
  sharing.startRound();
  const text = await metrics.expose();
  assert.match(text, /berylwood_stream_engines\{pool="pool"\} 3/);
  assert.match(text, /berylwood_event_while_prefilling_seconds\{pool="pool"\} 0.29/);
});
