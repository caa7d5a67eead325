import assert from 'node:assert/strict';
import { test } from 'node:test';
import { asId } from '@berylwood/base';
import { asWorkspaceId } from '@berylwood/schema';
import { Claims, type ClaimLimits } from './Claims';
import type { CommandOf } from './Command';

function claimOf(attempt: string, change: Partial<CommandOf<'claim'>> = {}): CommandOf<'claim'> {
  return {
    type: 'claim',
    at: 0,
    workspace: asWorkspaceId('acme'),
    idempotencyKey: 'invoice-7',
    fingerprint: 'f',
    request: asId(`req-${attempt}`),
    attempt: asId(attempt),
    endpoint: asId('dispatch-1'),
    ...change,
  };
}

function settleOf(attempt: string, body: string): CommandOf<'settle'> {
  const { workspace, idempotencyKey, request } = claimOf(attempt);
  const outcome = { outcome: 'ran', status: 201, headers: {}, body: Buffer.from(body) } as const;
  return { type: 'settle', at: 0, workspace, idempotencyKey, request, ...outcome };
}

function answerOf(claims: Claims, claim: CommandOf<'claim'>, now = 0): string {
  return claims.claim(claim, now).match(
    ({ type }) => type,
    ({ name }) => name,
  );
}

function createClaims(limits: Partial<ClaimLimits> = {}): Claims {
  return new Claims(limits);
}

test('exactly one attempt is granted, and is granted again when it asks again', () => {
  const claims = createClaims();
  assert.equal(answerOf(claims, claimOf('att-1')), 'granted');
  assert.equal(answerOf(claims, claimOf('att-2')), 'running');
  assert.equal(answerOf(claims, claimOf('att-1')), 'granted');
  assert.equal(answerOf(claims, claimOf('att-3', { fingerprint: 'other' })), 'conflict');
  assert.equal(answerOf(claims, claimOf('att-4', { workspace: asWorkspaceId('b') })), 'granted');
});

test('a settled claim returns its first outcome, also to the attempt that settled it', () => {
  const claims = createClaims();
  answerOf(claims, claimOf('att-1'));
  assert.ok(claims.settle(settleOf('att-1', 'first'), 1).isOk());
  assert.ok(claims.settle(settleOf('att-1', 'second'), 2).isOk());
  for (const attempt of ['att-1', 'att-2']) {
    const answer = claims.claim(claimOf(attempt), 3)._unsafeUnwrap();
    assert.ok(answer.type === 'settled');
    assert.equal(Buffer.from(answer.body).toString(), 'first');
  }
});

test('a full table rejects new claims and drops none', () => {
  const claims = createClaims({ claims: 1 });
  answerOf(claims, claimOf('att-1'));
  assert.equal(answerOf(claims, claimOf('att-2', { idempotencyKey: 'b' })), 'claimsFull');
  assert.equal(answerOf(claims, claimOf('att-3')), 'running');
});

test('an unsettled claim expires with an unknown outcome and is not granted again', () => {
  const claims = createClaims({ runningMs: 100, settledMs: 200 });
  answerOf(claims, claimOf('att-1'));
  const answer = claims.claim(claimOf('att-2'), 150)._unsafeUnwrap();
  assert.equal(answer.type === 'settled' && answer.outcome, 'unknown');
  assert.equal(answerOf(claims, claimOf('att-3'), 340), 'settled');
  assert.equal(answerOf(claims, claimOf('att-4'), 360), 'granted');
});

test('a body that is too large is omitted, and a header marks the omission', () => {
  const claims = createClaims({ bodyBytes: 3 });
  answerOf(claims, claimOf('att-1'));
  claims.settle(settleOf('att-1', 'long'), 1);
  const answer = claims.claim(claimOf('att-2'), 2)._unsafeUnwrap();
  assert.ok(answer.type === 'settled');
  assert.equal(answer.body.byteLength, 0);
  assert.equal(answer.headers['berylwood-stored-body'], 'omitted');
});
