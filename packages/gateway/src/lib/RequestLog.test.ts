import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Metrics, VirtualTimer, createSilentJournal } from '@berylwood/base';
import { gatewayCodes } from './codes';
import { RequestLog, type RequestRecord } from './RequestLog';

function createRecord(code: number): RequestRecord {
  return {
    ...{ request: 'a', resumes: undefined, route: undefined, workspace: undefined },
    ...{ pool: undefined, rank: undefined, endpoint: undefined, softwareVersion: undefined },
    ...{ origin: undefined, originMs: undefined, status: 401, code, reason: 'rejected' },
    ...{ events: undefined, sends: 0, limitPerS: undefined, firstMs: undefined },
    ...{ expectedMs: 0, learntMs: 0, pauseMs: 0, promptTokens: undefined, totalMs: 1 },
    ...{ deadlineMs: undefined, version: 1, listAgeMs: 0 },
  };
}

// Guards against clients that fill the log with requests that are rejected for what they are.
test('lines of rejected requests are limited in each second, and omitted ones are counted', () => {
  const timer = new VirtualTimer();
  const journal = createSilentJournal(timer);
  const log = new RequestLog(journal, timer, new Metrics());
  const countLines = (name: string): number =>
    journal.recent().filter((record) => record.name === name).length;
  for (let count = 0; count < 250; count += 1) {
    log.failed(createRecord(gatewayCodes.keyUnknown.number));
  }
  assert.equal(countLines('requestFailed'), 100);
  log.failed(createRecord(gatewayCodes.outcomeUnknown.number));
  assert.equal(countLines('requestFailed'), 101, 'other failures are always written');
  timer.advance(1000);
  log.failed(createRecord(gatewayCodes.keyUnknown.number));
  assert.equal(countLines('requestFailed'), 102);
  const { fields = {} } = journal.recent().find(({ name }) => name === 'linesLeftOut') ?? {};
  assert.deepEqual(fields, { lines: 150 });
});
