import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { BodyAccount } from './BodyAccount';
import { BodyBudget } from './BodyBudget';

const MIB = 1024 * 1024;

/** A budget at a time that the test moves, with the names of the bodies that it has ended. */
function createBudget({ maxBytes = 16 * MIB, maxHeapBytes = Infinity, maxUnfinished = 64 } = {}) {
  const clock = { now: 0 };
  const ended: string[] = [];
  const budget = new BodyBudget({
    maxBytes,
    maxHeapBytes,
    maxUnfinished,
    now: () => clock.now,
    onEnded: () => {},
  });
  const open = (name: string, kind: 'request' | 'response' = 'request'): BodyAccount =>
    budget.open(kind, () => ended.push(name));
  const receive = (account: BodyAccount, bytes: number): void => {
    account.move(bytes);
    account.resize(account.bytes + bytes);
  };
  return { clock, ended, budget, open, receive };
}

// Guards against the end of ordinary requests in place of the bodies that fill the budget.
test('stalled bodies end before those that make progress, the emptiest first', () => {
  const { clock, ended, budget, open, receive } = createBudget();
  receive(open('large stalled'), 9 * MIB);
  receive(open('small stalled'), 1 * MIB);
  clock.now = 20_000;
  const active = open('active');
  for (let second = 0; second < 6; second += 1) {
    clock.now += 1000;
    receive(active, MIB);
  }
  assert.deepEqual(ended, ['small stalled', 'large stalled']);
  assert.equal(budget.bytes, 6 * MIB);
  assert.equal(budget.unfinished, 1);
});

// Guards against crowds that take the bytes that ordinary requests need.
test('large bodies leave a reserve for small ones', () => {
  const { ended, open, receive } = createBudget();
  for (let number = 0; number < 64; number += 1) {
    const account = open(`large ${number}`);
    for (let chunk = 0; chunk < 8; chunk += 1) receive(account, MIB / 8);
  }
  ended.length = 0;
  for (let number = 0; number < 30; number += 1) receive(open(`small ${number}`), 60 * 1024);
  assert.deepEqual(ended, []);
});

// Guards against bodies that end in spite of having arrived completely, and against ones that no longer count.
test('complete requests count until they are released, and never end for others', () => {
  const { clock, ended, budget, open, receive } = createBudget();
  const complete = open('complete');
  receive(complete, 13 * MIB);
  complete.complete();
  assert.equal(budget.unfinished, 0);
  clock.now = 10_000;
  receive(open('next'), 4 * MIB);
  assert.deepEqual(ended, ['next']);
  complete[Symbol.dispose]();
  assert.equal(budget.bytes, 0);
  receive(open('last'), 4 * MIB);
  assert.deepEqual(ended, ['next']);
});

// Guards against unfinished requests without bytes, which take descriptors.
test('the longest silent requests end if there are too many unfinished ones', () => {
  const { clock, ended, budget, open, receive } = createBudget({ maxUnfinished: 16 });
  const accounts = Array.from({ length: 16 }, (_, number) => open(`${number}`));
  clock.now = 5000;
  for (const account of accounts.slice(2)) receive(account, 50_000);
  open('new');
  assert.deepEqual(ended, ['0', '1']);
  assert.equal(budget.unfinished, 15);
});

// Guards against callers that are cut while they read, or before requests that have not run.
test('responses end only if their callers read nothing, and after stalled requests', () => {
  const { clock, ended, open, receive } = createBudget();
  const read = open('read', 'response');
  receive(read, 6 * MIB);
  receive(open('unread', 'response'), 6 * MIB);
  receive(open('stalled request'), MIB);
  clock.now = 5000;
  read.onSample = () => read.move(MIB);
  receive(open('next'), 3 * MIB);
  assert.deepEqual(ended, ['stalled request', 'unread']);
  receive(open('last'), 6 * MIB);
  assert.ok(!ended.includes('read'));
});

// Guards against ready responses that end because requests fill the budget.
test('requests that fill the budget end no response, and responses have a bound of their own', () => {
  const { ended, budget, open, receive } = createBudget();
  const complete = open('complete');
  receive(complete, 14 * MIB);
  complete.complete();
  receive(open('ready', 'response'), 5 * MIB);
  assert.deepEqual(ended, []);
  assert.ok(budget.hasResponseSpace);
  receive(open('next', 'response'), 5 * MIB);
  assert.deepEqual(ended, []);
  assert.ok(!budget.hasResponseSpace);
  receive(open('last', 'response'), 5 * MIB);
  assert.deepEqual(ended, []);
  assert.ok(!budget.admitsRequest());
});

// Guards against a budget that is exceeded if nothing else can end.
test('a body that alone exceeds the budget ends', () => {
  const { ended, budget, open, receive } = createBudget();
  receive(open('only'), 17 * MIB);
  assert.deepEqual(ended, ['only']);
  assert.equal(budget.bytes, 0);
});

// Guards against bytes that are counted twice or never given back.
test('a body that has ended or was disposed of no longer counts', () => {
  const { budget, open, receive } = createBudget();
  const account = open('one');
  receive(account, MIB);
  account[Symbol.dispose]();
  account[Symbol.dispose]();
  receive(account, MIB);
  account.complete();
  assert.equal(budget.bytes, 0);
  assert.equal(budget.unfinished, 0);
});

// Guards against a heap that is full of decoded heads while the budget of bytes is empty.
test('requests are limited by the heap that they take, and stalled ones end first', () => {
  const { clock, ended, budget, open } = createBudget({ maxHeapBytes: 4 * MIB });
  const complete = open('complete');
  complete.reserve(MIB);
  complete.complete();
  open('stalled').reserve(2 * MIB);
  clock.now = 5000;
  const next = open('next');
  next.move(100_000);
  next.reserve(2 * MIB);
  assert.deepEqual(ended, ['stalled']);
  assert.equal(budget.heapBytes, 3 * MIB);
  open('last').reserve(4 * MIB);
  assert.ok(ended.includes('last') && !ended.includes('complete'));
  complete[Symbol.dispose]();
  next[Symbol.dispose]();
  assert.equal(budget.heapBytes, 0);
});

// Guards against the end of a request that is slow only because this process has not read it yet.
test('a request whose bytes wait for this process is not stalled', () => {
  const { clock, ended, open, receive } = createBudget();
  const waiting = open('waiting');
  waiting.receive(70 * 1024, true);
  const silent = open('silent');
  silent.receive(70 * 1024, false);
  clock.now = 10_000;
  receive(open('large'), 15 * MIB);
  assert.equal(ended[0], 'silent');
  assert.ok(!ended.includes('waiting') || ended.indexOf('waiting') > 0);
});

// Guards against answers that wait for each other's space.
test('the oldest response may grow while there is no space', () => {
  const { budget, open, receive } = createBudget();
  const first = open('first', 'response');
  receive(first, 12 * MIB);
  const second = open('second', 'response');
  receive(second, 12 * MIB);
  assert.ok(!budget.hasResponseSpace);
  assert.ok(budget.isOldestResponse(first) && !budget.isOldestResponse(second));
  first[Symbol.dispose]();
  assert.ok(budget.hasResponseSpace && budget.isOldestResponse(second));
});
