import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualTimer, asId, createSilentJournal } from '@berylwood/base';
import { ContentQuarantine } from '@berylwood/policy';
import { ContentGuard } from './ContentGuard';
import type { Endpoint } from './Endpoint';
import type { ResolvedRequest } from './resolveRequest';

function createContext() {
  const timer = new VirtualTimer();
  return { timer, journal: createSilentJournal(timer), quarantine: new ContentQuarantine() };
}

function createGuard(context: ReturnType<typeof createContext>, own: string): ContentGuard {
  const prompt = ['shared', 'deadly', own].map((id) => ({ id, tokens: 1 }));
  const resolved = {
    metadata: { prompt, attempt: asId<'attempt'>(own) },
    workspace: undefined,
    target: asId<'pool'>('pool'),
  } as unknown as ResolvedRequest;
  return new ContentGuard(context, resolved, { method: 'POST', url: '/' }, Buffer.from(own));
}

/** An endpoint that has crashed, or only broken a connection. */
function createEndpoint(hasCrashed: boolean): Endpoint {
  const endpoint = {
    listed: { id: asId<'endpoint'>('e') },
    hasCrashed: () => Promise.resolve(hasCrashed),
  };
  return endpoint as unknown as Endpoint;
}

async function loseAttempts(hasCrashed: boolean, isAnswered: boolean): Promise<string | undefined> {
  const context = createContext();
  for (const own of ['a', 'b', 'c']) {
    const guard = createGuard(context, own);
    guard.sent();
    if (isAnswered) guard.answered();
    await guard.lost(createEndpoint(hasCrashed));
  }
  return createGuard(context, 'd').findQuarantined();
}

test('attempts whose endpoints crashed before they answered quarantine their parts', async () => {
  assert.equal(await loseAttempts(true, false), 'pool/part/shared');
});

test('a broken connection to an endpoint that runs makes nothing suspect', async () => {
  assert.equal(await loseAttempts(false, false), undefined);
});

test('an attempt that had begun to be answered makes nothing suspect', async () => {
  assert.equal(await loseAttempts(true, true), undefined);
});
