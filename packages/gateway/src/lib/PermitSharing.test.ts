import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Metrics, Random, VirtualTimer, asId, createSilentJournal } from '@berylwood/base';
import { EndpointDirectory } from './EndpointDirectory';
import { HeldRequests } from './HeldRequests';
import { PermitSharing } from './PermitSharing';
import type { ResolvedRequest } from './resolveRequest';
import type { StatedConditions } from './Wire';

const POOL = asId<'pool'>('pool');

const ROUND_MS = 100;

/** Longer than a message between instances is delayed, in milliseconds. */
const LONG_MS = 5000;

const listedEndpoint = (id: string, address = '127.0.0.1:1') => ({
  id: asId<'endpoint'>(id),
  pool: POOL,
  address: asId<'address'>(address),
  dataCentre: 'a',
  slots: 4,
  isDraining: false,
});

const conditions = (requestsPerS: number | undefined): StatedConditions => ({
  requestsPerS,
  isLeaving: false,
  pauseMs: undefined,
  invalid: [],
});

/** A request as far as the demand for permits needs it. */
const REQUEST = { target: POOL, rank: 0 } as ResolvedRequest;

function createInstance(timer: VirtualTimer, isLeader: boolean) {
  const journal = createSilentJournal(timer);
  const random = new Random(1);
  const directory = new EndpointDirectory(timer, journal, random);
  directory.instances = () => 2;
  directory.replace([listedEndpoint('e-1'), listedEndpoint('e-2')]);
  const held = new HeldRequests({ directory, timer, journal, metrics: new Metrics() });
  const mesh = { isLeader };
  const sharing = new PermitSharing({ directory, held, mesh, timer, journal, random });
  directory.hasPermitLeader = () => sharing.hasLeader;
  const [endpoint] = directory.endpointsOf(POOL);
  assert.ok(endpoint);
  const { attachments } = sharing;
  const { statements } = endpoint;
  const observe = (perS: number | undefined, sentAt: number): void =>
    statements.observe(conditions(perS), asId<'attempt'>('r'), sentAt);
  return { timer, directory, held, mesh, sharing, attachments, endpoint, statements, observe };
}

type TestInstance = ReturnType<typeof createInstance>;

function createFleet() {
  const timer = new VirtualTimer();
  const leader = createInstance(timer, true);
  const other = createInstance(timer, false);
  const third = createInstance(timer, false);
  /** Runs rounds of the exchange with the leader. */
  const run = (rounds: number, members: readonly TestInstance[] = [other, third]): void => {
    for (let round = 0; round < rounds; round += 1) {
      for (const { sharing } of [leader, other, third]) sharing.startRound();
      for (const member of members) {
        const name = member === other ? 'other' : 'third';
        leader.attachments.receiveReport(name, member.attachments.createReport());
      }
      leader.sharing.startRound();
      for (const member of members) {
        const name = member === other ? 'other' : 'third';
        const update = leader.attachments.createUpdate(name);
        if (update !== undefined) member.attachments.receiveUpdate(update);
      }
      for (const { held } of [leader, other, third]) held.endRound();
      timer.advance(ROUND_MS);
    }
  };
  return { timer, leader, other, third, run };
}

test('all instances learn a limit that one of them has received', () => {
  const { leader, other, third, run } = createFleet();
  other.observe(2, 0);
  run(2);
  assert.equal(leader.statements.requestsPerS, 2);
  assert.equal(third.statements.requestsPerS, 2);
});

test('an instance gets permits for its requests from the leader', () => {
  const { other, third, run } = createFleet();
  other.observe(4, 0);
  for (let round = 0; round < 10; round += 1) {
    other.held.recordDemand(REQUEST);
    run(1);
  }
  assert.ok(other.statements.acceptsRequest);
  assert.equal(third.statements.acceptsRequest, false);
  assert.ok(other.statements.takePermit());
});

test('the end of a limit reaches all instances', () => {
  const { timer, leader, other, third, run } = createFleet();
  other.observe(2, 0);
  run(2);
  timer.advance(LONG_MS);
  const sentAt = timer.now();
  timer.advance(10);
  other.observe(undefined, sentAt);
  run(2);
  assert.equal(leader.statements.isLimited || third.statements.isLimited, false);
});

test('an instance that was cut off during the end of a limit learns it later, and restores no limit', () => {
  const { timer, leader, other, third, run } = createFleet();
  other.observe(2, 0);
  run(2);
  timer.advance(LONG_MS);
  other.observe(undefined, timer.now() - 10);
  run(2, [other]);
  assert.ok(third.statements.isLimited);
  timer.advance(60_000);
  leader.observe(undefined, timer.now() - 10);
  run(2);
  assert.equal(leader.statements.isLimited || third.statements.isLimited, false);
});

test('a delayed message about an earlier response does not lift a limit', () => {
  const { timer, leader, other } = createFleet();
  other.observe(2, 0);
  timer.advance(ROUND_MS);
  other.observe(undefined, timer.now());
  other.sharing.startRound();
  const delayed = other.attachments.createReport();
  timer.advance(ROUND_MS);
  leader.observe(2, timer.now());
  timer.advance(ROUND_MS);
  leader.attachments.receiveReport('other', delayed);
  assert.ok(leader.statements.isLimited);
});

test('a limit that instances repeat to each other does not become more recent', () => {
  const { timer, leader, other } = createFleet();
  other.observe(2, 0);
  const { receivedAt } = other.statements.statementOf('rate');
  for (let round = 0; round < 10; round += 1) {
    other.sharing.startRound();
    const report = other.attachments.createReport();
    timer.advance(ROUND_MS);
    leader.attachments.receiveReport('other', report);
    leader.sharing.startRound();
    const update = leader.attachments.createUpdate('other');
    timer.advance(ROUND_MS);
    other.attachments.receiveUpdate(update);
  }
  assert.equal(other.statements.statementOf('rate').receivedAt, receivedAt);
});

test('an endpoint with another id at the same address starts without a limit', () => {
  const { directory, observe } = createInstance(new VirtualTimer(), false);
  observe(2, 0);
  directory.replace([listedEndpoint('e-3')]);
  const [endpoint] = directory.endpointsOf(POOL);
  assert.equal(endpoint?.statements.isLimited, false);
});

test('reports and updates that cannot be read change nothing', () => {
  const { attachments, statements, sharing } = createInstance(new VirtualTimer(), false);
  const key = 'e-1 127.0.0.1:1';
  const invalid = [
    'text',
    { statements: [[key, 'rate', -1, 0, 0]], grants: [] },
    { statements: [], grants: [[key, 0.5]] },
    { statements: [], grants: [[key, 1e9]] },
  ];
  for (const value of invalid) {
    attachments.receiveUpdate(value);
    attachments.receiveReport('x', value);
  }
  assert.equal(statements.isLimited, false);
  assert.equal(sharing.hasLeader, false);
});
