import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { test } from 'node:test';
import { Metrics, Random, VirtualTimer, asId, createSilentJournal } from '@berylwood/base';
import { listenOn } from '@berylwood/link';
import { createAttemptParts } from '../fixtures/rawEndpoint';
import { EndpointDirectory } from './EndpointDirectory';
import { FaultLog } from './FaultLog';
import { LeavingCheck } from './LeavingCheck';

/** Interval of health checks, in milliseconds. */
const CHECK_INTERVAL_MS = 5000;

/** Interval at which due checks are started, and time after which an unanswered one ends, in milliseconds. */
const POLL_INTERVAL_MS = 1000;

/** Time in which a request over loopback arrives, in milliseconds. */
const ARRIVAL_MS = 200;

const wait = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ARRIVAL_MS);
  });

// Guards against requests of the gateway itself that reach an evacuated data centre.
test('an endpoint that is leaving is not checked while its data centre is evacuated', async () => {
  let checks = 0;
  const server = createServer({ requireHostHeader: false }, (_, response) => {
    checks += 1;
    response.end();
  });
  const address = asId<'address'>(await listenOn(server, '127.0.0.1:0'));
  const timer = new VirtualTimer();
  const journal = createSilentJournal(timer);
  const directory = new EndpointDirectory(timer, journal, new Random(1));
  let isEvacuated = true;
  directory.isEvacuated = () => isEvacuated;
  const id = asId<'endpoint'>('e-1');
  const pool = asId<'pool'>('pool');
  directory.replace([{ id, pool, address, dataCentre: 'a', slots: 4, isDraining: false }]);
  const [endpoint] = directory.endpoints;
  const conditions = { requestsPerS: undefined, isLeaving: true, pauseMs: undefined, invalid: [] };
  endpoint?.statements.observe(conditions, undefined, timer.now());
  const check = new LeavingCheck({
    directory,
    wire: createAttemptParts().wire,
    timer,
    journal,
    faults: new FaultLog(journal, new Metrics()),
    healthPath: () => '/',
    isChecker: () => true,
  });
  try {
    timer.advance(CHECK_INTERVAL_MS);
    await wait();
    assert.equal(checks, 0);
    isEvacuated = false;
    directory.updateEvacuations();
    timer.advance(POLL_INTERVAL_MS);
    await wait();
    assert.ok(checks > 0);
  } finally {
    check[Symbol.dispose]();
    directory[Symbol.dispose]();
    server.close();
    server.closeAllConnections();
  }
});
