import assert from 'node:assert/strict';
import { DataTable, Then, When } from '@cucumber/cucumber';
import { callCompletion, expectedAnswer } from '@berylwood/testing';
import type { ScenarioWorld } from '../support/World';

const MODEL = 'crew-8b';

When(
  '{int} streamed and {int} whole requests of the classes {string} are sent over both entries',
  async function sendRequests(this: ScenarioWorld, streamed: number, whole: number, names: string) {
    const classes = names.split(', ');
    const calls = Array.from({ length: streamed + whole }, async (_, index) => {
      const prompt = `request ${index} of ${this.key.key}`;
      const answerTokens = 5 + index;
      const reply = await callCompletion({
        url: this.deployment.entryUrl(1 + (index % 2)),
        secret: this.key.secret,
        model: MODEL,
        prompt,
        class: classes[index % classes.length],
        stream: index < streamed,
        answerTokens,
      });
      return { prompt, answerTokens, reply };
    });
    this.sent = await Promise.all(calls);
  },
);

Then('every answer is whole and its own', function checkAnswers(this: ScenarioWorld) {
  for (const { prompt, answerTokens, reply } of this.sent) {
    assert.equal(reply.status, 200, JSON.stringify(reply));
    assert.ok(reply.isWhole, `cut: ${prompt}`);
    assert.equal(reply.text, expectedAnswer(`user: ${prompt}`, answerTokens));
  }
});

When(
  /^"(.*?)" is called with the body "(.*)"$/,
  async function callService(this: ScenarioWorld, path: string, body: string) {
    const answer = await fetch(`${this.deployment.entryUrl(1)}${path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${this.key.secret}`, 'x-secret-note': this.key.secret },
      body,
    });
    this.status = answer.status;
    this.body = await answer.text();
  },
);

Then(
  'the call is answered with status {int}',
  function checkStatus(this: ScenarioWorld, status: number) {
    assert.equal(this.status, status, this.body);
  },
);

Then('no endpoint has seen the key', async function checkKey(this: ScenarioWorld) {
  const names = [...this.deployment.processes.keys()].filter((name) =>
    /^(engine|service)/.test(name),
  );
  for (const name of names) {
    const seen = JSON.stringify(await this.deployment.history(name));
    assert.ok(!seen.includes(this.key.secret), `${name} has seen the key`);
  }
});

Then('no engine has run anything', async function checkIdle(this: ScenarioWorld) {
  for (const name of ['engine-1', 'engine-2']) {
    assert.deepEqual(await this.deployment.history(name), []);
  }
});

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
