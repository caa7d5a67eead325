import assert from 'node:assert/strict';
import test from 'node:test';
import { CircuitBreaker } from './CircuitBreaker';

function createOpenBreaker(): CircuitBreaker {
  const breaker = new CircuitBreaker({ failureThreshold: 2, openMs: 100 });
  breaker.failed(0);
  assert.equal(breaker.allows(0), true);
  breaker.failed(0);
  return breaker;
}

test('consecutive failures open the breaker and one successful probe closes it', () => {
  const breaker = createOpenBreaker();
  assert.equal(breaker.allows(99), false);
  assert.equal(breaker.allows(100), true);
  breaker.sent();
  assert.equal(breaker.allows(100), false);
  breaker.succeeded();
  assert.equal(breaker.state, 'closed');
});

test('a failed probe doubles the open time', () => {
  const breaker = createOpenBreaker();
  breaker.allows(100);
  breaker.sent();
  breaker.failed(100);
  assert.equal(breaker.allows(299), false);
  assert.equal(breaker.allows(300), true);
});

test('a success between failures keeps the breaker closed', () => {
  const breaker = new CircuitBreaker({ failureThreshold: 2 });
  breaker.failed(0);
  breaker.succeeded();
  breaker.failed(0);
  assert.equal(breaker.state, 'closed');
});
