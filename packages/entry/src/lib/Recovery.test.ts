import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import test from 'node:test';
import { Failure, Random } from '@berylwood/base';
import { requestCodes } from '@berylwood/schema';
import type { Order } from './classify';
import { Exchange } from './Exchange';
import type { ExchangeEvent } from './exchangeMachine';
import { Recovery } from './Recovery';

const ATTEMPT_FAILURE = {
  failure: new Failure(requestCodes.endpointFailed, 'broken'),
  crashed: false,
};

function createExchange(idempotent: boolean, ...events: ExchangeEvent[]): Exchange {
  const order = { idempotent, job: { expiresAt: 10_000, isSuspect: false } } as unknown as Order;
  const exchange = new Exchange(order, {} as ServerResponse);
  for (const event of events) assert.ok(exchange.send(event), event);
  exchange.attempts = 1;
  return exchange;
}

test('only requests that are idempotent, or are proved not to have run, are retried', () => {
  const recovery = new Recovery(new Random(1));
  const typeOf = (idempotent: boolean, ...events: ExchangeEvent[]): string =>
    recovery.decide(createExchange(idempotent, ...events), ATTEMPT_FAILURE, 0).type;
  assert.equal(typeOf(true, 'dispatch', 'broken'), 'retry');
  assert.equal(typeOf(true, 'dispatch', 'lost'), 'retry');
  assert.equal(typeOf(false, 'dispatch', 'broken'), 'fail');
  assert.equal(typeOf(false, 'dispatch', 'lost'), 'fail');
  assert.equal(typeOf(false, 'dispatch', 'refused'), 'retry');
});

test('no request is retried after it has expired or once the retry budget is used up', () => {
  const recovery = new Recovery(new Random(1));
  const late = recovery.decide(createExchange(true, 'dispatch', 'broken'), ATTEMPT_FAILURE, 10_000);
  assert.equal(late.type, 'fail');
  const remedies = Array.from({ length: 60 }, () =>
    recovery.decide(createExchange(true, 'dispatch', 'broken'), ATTEMPT_FAILURE, 0),
  );
  assert.equal(remedies.filter(({ type }) => type === 'retry').length, 50);
});

test('a request that waits again after an attempt ran is not reported as not run', () => {
  const exchange = createExchange(true, 'dispatch', 'broken');
  exchange.retry(exchange.order);
  assert.equal(exchange.lifecycle.state, 'waiting');
  assert.equal(exchange.notRun, false);
  const deferred = createExchange(true, 'dispatch', 'refused');
  deferred.retry(deferred.order);
  assert.equal(deferred.notRun, true);
});
