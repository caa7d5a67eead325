import assert from 'node:assert/strict';
import { DataTable, Then } from '@cucumber/cucumber';
import { MODEL } from '../support/sendRequest';
import type { ScenarioWorld } from '../support/World';

interface BadRequest {
  path?: string;
  key?: string;
  class?: string;
  body?: string;
}

const MAX_BODY_BYTES = 4 * 1024 * 1024;

function badRequest(fault: string, secret: string): BadRequest {
  const completion = (fields: object): string =>
    JSON.stringify({ model: MODEL, messages: [{ role: 'user', content: 'x' }], ...fields });
  const faults: Record<string, BadRequest> = {
    'no key': { key: '' },
    'an unknown key': { key: 'bw-unknown' },
    'an unknown path': { path: '/v2/nothing' },
    'a model outside the plan': { body: completion({ model: 'other' }) },
    'a class outside the plan': { class: 'batch' },
    'a body that is not JSON': { body: '{"model": ' },
    'a body with a wrong type': { body: completion({ stream: 'yes' }) },
    'a body over the limit': { body: completion({ prompt: 'x'.repeat(MAX_BODY_BYTES) }) },
    'the key in the body': { body: completion({ user: secret }) },
    'the key in the query': { path: `/v1/chat/completions?key=${secret}` },
  };
  const found = faults[fault];
  assert.ok(found, `no such fault: ${fault}`);
  return { body: completion({}), ...found };
}

async function sendBad(url: string, secret: string, fault: string): Promise<Response> {
  const bad = badRequest(fault, secret);
  const key = bad.key ?? secret;
  return fetch(`${url}${bad.path ?? '/v1/chat/completions'}`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      ...(key && { authorization: `Bearer ${key}` }),
      ...(bad.class && { 'x-request-class': bad.class }),
    },
    body: bad.body,
  });
}

Then(
  'bad requests are refused as not run:',
  async function checkBad(this: ScenarioWorld, table: DataTable) {
    for (const { fault = '', status, error } of table.hashes()) {
      const answer = await sendBad(this.deployment.entryUrl(1), this.key.secret, fault);
      const body = (await answer.json()) as { error: { type: string; not_run: unknown } };
      const seen = [answer.status, body.error.type, body.error.not_run];
      assert.deepEqual(seen, [Number(status), error, true], fault);
    }
  },
);
