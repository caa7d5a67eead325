import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import { test } from 'node:test';
import { VirtualTimer, createSilentJournal } from '@berylwood/base';
import { BodyBudget } from '@berylwood/policy';
import { ResponseMemory } from './ResponseMemory';
import type { ResponseRelay } from './ResponseRelay';

const KIB = 1024;

/** A relay whose held bytes the test sets, and a budget that other bodies can fill. */
function createMemory() {
  const timer = new VirtualTimer();
  const bodies = new BodyBudget({
    maxBytes: 1024 * KIB,
    maxUnfinished: 8,
    now: () => timer.now(),
    onEnded: () => {},
  });
  const state = { isDestroyed: false, readOns: 0, writable: 0 };
  const response = Object.assign(new EventEmitter(), {
    req: {},
    destroy: () => {
      state.isDestroyed = true;
      response.emit('close');
    },
  });
  Object.defineProperty(response, 'writableLength', { get: () => state.writable });
  const relay = {
    response,
    isHeadSent: true,
    get heldBytes() {
      return state.writable;
    },
  } as unknown as ResponseRelay;
  const journal = createSilentJournal(timer);
  const memory = new ResponseMemory({ bodies, timer, journal }, relay);
  const hold = (bytes: number): void => {
    state.writable = bytes;
    memory.update();
  };
  const readOn = (): void => {
    state.readOns += 1;
  };
  const fill = (): void => {
    const other = bodies.open('request', () => {});
    other.move(1100 * KIB);
    other.resize(1100 * KIB);
  };
  return { timer, bodies, state, memory, hold, readOn, fill };
}

// Guards against the end of a stream whose caller reads and that pauses between its events.
test('a stream whose caller reads is not ended when the budget is spent', () => {
  const { timer, bodies, state, hold, fill } = createMemory();
  for (let event = 0; event < 5; event += 1) {
    hold(400);
    timer.advance(3000);
  }
  assert.equal(bodies.bytes, 0);
  hold(200 * KIB);
  // The caller has read it, and nothing was written since.
  state.writable = 0;
  timer.advance(5000);
  fill();
  assert.ok(!state.isDestroyed);
});

// Guards against bytes that stay for a caller that reads nothing while the budget is spent.
test('a response whose caller reads nothing ends when the budget is spent', () => {
  const { timer, bodies, state, hold, fill } = createMemory();
  hold(200 * KIB);
  assert.equal(bodies.bytes, 200 * KIB);
  timer.advance(5000);
  fill();
  assert.ok(state.isDestroyed);
  assert.equal(bodies.bytes, 0);
});

// Guards against an endpoint that waits for a caller, and against a caller that is cut although it reads.
test('a paused response is read on, and cut only if its caller reads nothing', () => {
  const { timer, state, memory, hold, readOn } = createMemory();
  hold(900 * KIB);
  memory.paused(readOn);
  for (let second = 1; second <= 5; second += 1) {
    state.writable -= 10 * KIB;
    timer.advance(1000);
    assert.equal(state.readOns, second);
  }
  timer.advance(1000);
  assert.ok(!state.isDestroyed);
  timer.advance(1000);
  assert.ok(state.isDestroyed);
  timer.advance(10_000);
  assert.equal(state.readOns, 6);
});

// Guards against a caller that is cut after it has read everything.
test('a caller that has read all that was sent is not watched', () => {
  const { timer, state, memory, hold, readOn } = createMemory();
  hold(100 * KIB);
  memory.paused(readOn);
  state.writable = 0;
  memory.drained();
  timer.advance(10_000);
  assert.ok(!state.isDestroyed);
  assert.equal(state.readOns, 0);
});
