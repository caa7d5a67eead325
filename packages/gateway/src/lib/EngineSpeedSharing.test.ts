import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Journal, Metrics, Random, VirtualTimer, asId, createSilentJournal } from '@berylwood/base';
import { EndpointDirectory } from './EndpointDirectory';
import { EngineModel, engineIdOf } from './EngineModel';
import { EngineModelReport } from './EngineModelReport';
import { EngineSpeedSharing } from './EngineSpeedSharing';
import { MAX_ENGINES } from './engineSpeedMessages';
import { LeaderExchange } from './LeaderExchange';

const POOL = asId<'pool'>('pool');

const ROUND_MS = 100;

const PREFILL = { tokens: 9190, ownTokens: 9190, dataSheetMs: 139, momentary: 1 };

/** Collects the names of the events that are logged. */
function createJournal(): { readonly journal: Journal; readonly logged: string[] } {
  const logged: string[] = [];
  const journal = createSilentJournal(new VirtualTimer());
  const record: Journal['record'] = (event, fields) => {
    logged.push(`${event.number} ${JSON.stringify(fields)}`);
  };
  journal.record = record;
  return { journal, logged };
}

function createInstance(timer: VirtualTimer, engines = 5) {
  const { journal, logged } = createJournal();
  const directory = new EndpointDirectory(timer, journal, new Random(1));
  directory.replace(
    Array.from({ length: engines }, (_, at) => ({
      id: asId<'endpoint'>(`e-${at}`),
      pool: POOL,
      address: asId<'address'>(`127.0.0.1:${at + 1}`),
      dataCentre: 'a',
      slots: 4,
      isDraining: false,
    })),
  );
  const model = new EngineModel(directory, timer);
  const sharing = new EngineSpeedSharing({ engines: model, directory, timer, journal });
  const exchange = new LeaderExchange();
  exchange.add(sharing);
  const metrics = new Metrics();
  const report = new EngineModelReport({ engines: model, directory, timer, journal, metrics });
  const endpoints = directory.endpointsOf(POOL);
  return { model, sharing, exchange, endpoints, logged, metrics, report };
}

type TestInstance = ReturnType<typeof createInstance>;

/** One round between the leader and another instance; messages pass through JSON as on a link. */
function exchangeRound(leader: TestInstance, other: TestInstance, address: string): void {
  const pass = (value: unknown): unknown =>
    value === undefined ? undefined : JSON.parse(JSON.stringify(value));
  const report = pass(other.exchange.createReport());
  if (report !== undefined) leader.exchange.receiveReport(address, report);
  const update = pass(leader.exchange.createUpdate(address));
  if (update !== undefined) other.exchange.receiveUpdate(update);
}

// Guards against instances that know only the few engines that they have used themselves.
test('what each instance learns about one engine is known to all within 2 s', async () => {
  const timer = new VirtualTimer();
  const instances = Array.from({ length: 5 }, () => createInstance(timer));
  const [leader, ...others] = instances as [TestInstance, ...TestInstance[]];
  for (const [at, { model, endpoints }] of instances.entries()) {
    const observedMs = 2.4 * 139 * (at === 3 ? 2 : 1);
    for (let turn = 0; turn < 40; turn += 1)
      model.observePrefill(endpoints[at] as (typeof endpoints)[0], { ...PREFILL, observedMs });
  }
  for (let round = 0; round < 20; round += 1) {
    timer.advance(ROUND_MS);
    others.forEach((other, at) => exchangeRound(leader, other, `10.0.0.${at}`));
  }
  for (const { model, endpoints } of instances) {
    const speeds = endpoints.map((endpoint) => model.figuresOf(endpoint).speed);
    assert.ok((speeds[3] as number) < 0.65, `${speeds}`);
    assert.ok(
      speeds.every((speed, at) => at === 3 || (speed > 0.9 && speed < 1.35)),
      `${speeds}`,
    );
    assert.ok(model.optionsOf(POOL).prefillFactor > 2);
    assert.ok(model.prefillMsPerToken(endpoints[3] as (typeof endpoints)[0]) > 0.06);
  }
  assert.ok(leader.logged.some((line) => line.startsWith('9091 ')));
  assert.ok(leader.logged.some((line) => line.startsWith('9092 ') && line.includes('e-3')));
  const exposed = await leader.metrics.expose();
  assert.match(exposed, /berylwood_engine_speed\{pool="pool",engine="slowest"\} 0\.[4-6]/);
  assert.match(exposed, /berylwood_engine_prefill_ms_per_token\{pool="pool"\} 0\.0[345]/);
});

// Guards against a log that an invalid peer fills, and against estimates that it spoils.
test('invalid values are ignored and logged once in a while', () => {
  const timer = new VirtualTimer();
  const { sharing, model, logged } = createInstance(timer);
  const key = 'e-0 127.0.0.1:1';
  const none = [0, 0, 0];
  const invalid: unknown[] = [
    'text',
    { engineSpeeds: 1 },
    { engineSpeeds: [[key, [[-1, 0, 0], none, none]]] },
    { engineSpeeds: [[key, [[10, 1000, 100], none, none]]] },
    { engineSpeeds: [[key, [[1, 5, 1], none, none]]] },
    { engineSpeeds: [[key, [[1e9, 0, 0], none, none]]] },
    { engineSpeeds: [[key, [[null, 0, 0], none, none]]] },
    { engineSpeeds: [[key, [none, none]]] },
    { engineSpeeds: [['x'.repeat(600), [none, none, none]]] },
    { engineSpeeds: Array.from({ length: MAX_ENGINES + 1 }, () => [key, [none, none, none]]) },
  ];
  for (const value of invalid) {
    sharing.receiveReport('10.0.0.1', value);
    sharing.receiveUpdate(value);
  }
  assert.equal(model.estimator.known().length, 0);
  assert.equal(logged.filter((line) => line.startsWith('9090 ')).length, 1);
});

// Other parts attach their values under other keys, and engines may be listed later on some instances.
test('values without the key and unknown engines are ignored', () => {
  const timer = new VirtualTimer();
  const { sharing, model, logged } = createInstance(timer);
  const sums = [1, 0.5, 0.25];
  sharing.receiveReport('10.0.0.1', { statements: [] });
  sharing.receiveReport('10.0.0.1', { engineSpeeds: [['e-9 10.0.0.9:1', [sums, sums, sums]]] });
  assert.equal(model.estimator.known().length, 0);
  assert.equal(logged.filter((line) => line.startsWith('9090 ')).length, 0);
});

// Guards against engines that are never sent because a message has a bounded number of them.
test('messages are bounded and seldom, and all engines are sent in turn', () => {
  const timer = new VirtualTimer();
  const { sharing, model, endpoints } = createInstance(timer, 150);
  const listed = new Set(endpoints.map((endpoint) => engineIdOf(endpoint).key));
  for (const endpoint of endpoints) model.observePrefill(endpoint, { ...PREFILL, observedMs: 300 });
  let messages = 0;
  for (let round = 0; round < 15; round += 1) {
    timer.advance(ROUND_MS);
    const report = sharing.createReport();
    if (report) messages += 1;
    assert.ok((report?.engineSpeeds.length ?? 0) <= MAX_ENGINES);
    for (const [key] of report?.engineSpeeds ?? []) listed.delete(key);
  }
  assert.equal(messages, 3);
  assert.equal(listed.size, 0);
});

// Guards against a lost leader: an instance goes on with what it knows, and hands its own part over later.
test('without a leader an instance learns from its own observations', () => {
  const timer = new VirtualTimer();
  const { model, endpoints, report } = createInstance(timer);
  const [endpoint] = endpoints;
  assert.ok(endpoint);
  for (let turn = 0; turn < 40; turn += 1)
    model.observePrefill(endpoint, { ...PREFILL, observedMs: 500 });
  timer.advance(1000);
  assert.ok(model.optionsOf(POOL).prefillFactor > 3);
  assert.equal(model.estimator.unshared().length, 1);
  report[Symbol.dispose]();
  model[Symbol.dispose]();
  assert.equal(timer.nextAt, undefined);
});
