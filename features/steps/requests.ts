import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { expectedAnswer, until } from '@berylwood/testing';
import { sendRequest } from '../support/sendRequest';
import type { ScenarioWorld, Sent } from '../support/World';

let count = 0;

/** Sidecars hand usage in every 500 ms; the rest is for a process of the command line on a busy machine. */
const USAGE_LIMIT_MS = 10_000;

/** Starts requests through the entries in turn, without waiting for their answers. */
function startRequests(
  world: ScenarioWorld,
  plan: { total: number; answerTokens: number; keys: number; stream?: number; classes?: string[] },
): void {
  const { total, answerTokens, keys, stream = total, classes = [undefined] } = plan;
  for (let index = 0; index < total; index += 1) {
    count += 1;
    const key = world.keys[index % keys] ?? world.key;
    const request = {
      entry: 1 + (index % 2),
      key,
      prompt: `request ${count} of ${key.workspace}`,
      answerTokens,
      stream: index < stream,
      class: classes[index % classes.length],
    };
    world.pending.push(sendRequest(world, request));
  }
}

async function engineHistories(world: ScenarioWorld) {
  const names = [...world.deployment.processes.keys()].filter((name) => name.startsWith('engine'));
  return Promise.all(names.map((name) => world.deployment.history(name)));
}

async function countRuns(world: ScenarioWorld): Promise<number> {
  return (await engineHistories(world)).flat().filter(({ kind }) => kind === 'run').length;
}

function assertWhole({ prompt, answerTokens, reply, fault }: Sent): void {
  assert.ok(reply, `${prompt}: ${fault}`);
  assert.equal(reply.status, 200, `${prompt}: ${JSON.stringify(reply)}`);
  assert.ok(reply.isWhole, `${prompt} was cut: ${JSON.stringify(reply.error)}`);
  assert.equal(reply.text, expectedAnswer(`user: ${prompt}`, answerTokens));
}

When(
  '{int} streamed and {int} whole requests of the classes {string} are sent over both entries',
  function sendRequests(this: ScenarioWorld, streamed: number, whole: number, names: string) {
    const total = streamed + whole;
    const classes = names.split(', ');
    startRequests(this, { total, answerTokens: 20, keys: 1, stream: streamed, classes });
  },
);

When(
  /^(\d+) streamed requests of (\d+) tokens from (one workspace|both workspaces) are under way(?: over both entries)?$/,
  async function startStreams(this: ScenarioWorld, total: string, tokens: string, from: string) {
    const keys = from === 'one workspace' ? 1 : 2;
    startRequests(this, { total: Number(total), answerTokens: Number(tokens), keys });
    const slots = 16;
    const expected = Math.min(Number(total), slots);
    await until('the requests run', async () => (await countRuns(this)) >= expected);
  },
);

When('requests are sent without pause', function startFlow(this: ScenarioWorld) {
  const timer = setInterval(() => {
    startRequests(this, { total: 2, answerTokens: 20, keys: 1 });
  }, 100);
  this.endFlow = () => clearInterval(timer);
});

Then('all requests end with their own whole answers', async function checkAll(this: ScenarioWorld) {
  for (const sent of await Promise.all(this.pending)) assertWhole(sent);
});

Then('every request of the flow is answered whole', async function checkFlow(this: ScenarioWorld) {
  this.endFlow();
  for (const sent of await Promise.all(this.pending)) assertWhole(sent);
});

Then(
  'every request ends, and every refusal that says not run is true',
  async function checkRefusals(this: ScenarioWorld) {
    const all = await Promise.all(this.pending);
    const runs = JSON.stringify(await engineHistories(this));
    for (const { prompt, reply, fault } of all) {
      assert.ok(reply, `${prompt} has not ended: ${fault}`);
      if (reply.error?.not_run !== true) continue;
      assert.ok(!runs.includes(`${prompt}\\\\\\"`), `${prompt} ran, but was said not to have run`);
    }
  },
);

Then(
  '{string} gets no new work after {int} seconds',
  async function checkLeaving(this: ScenarioWorld, name: string, seconds: number) {
    const borderMs = this.stoppedAt + seconds * 1000;
    await until('the time has passed', () => Date.now() > borderMs + 2000);
    const late = (await this.deployment.history(name)).filter(
      ({ kind, at }) => kind === 'run' && at > borderMs,
    );
    assert.deepEqual(late, []);
  },
);

When(
  /^"(.*?)" is called with the body "(.*)"$/,
  async function callService(this: ScenarioWorld, path: string, body: string) {
    const { secret } = this.key;
    const answer = await fetch(`${this.deployment.entryUrl(1)}${path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${secret}`, 'x-secret-note': secret },
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

Then('no endpoint has seen a key', async function checkKeys(this: ScenarioWorld) {
  const names = [...this.deployment.processes.keys()].filter((name) =>
    /^(engine|service)/.test(name),
  );
  for (const name of names) {
    const seen = JSON.stringify(await this.deployment.history(name));
    for (const { secret } of this.keys) assert.ok(!seen.includes(secret), `${name} has seen a key`);
  }
});

Then('no engine has run anything', async function checkIdle(this: ScenarioWorld) {
  assert.equal(await countRuns(this), 0);
});

interface UsageRow {
  readonly workspace: string;
  readonly requests: number;
  readonly billable: boolean;
}

Then('each request has run for its own workspace', async function checkOwn(this: ScenarioWorld) {
  const all = await Promise.all(this.pending);
  const sent = this.keys.map(({ workspace }) => ({
    workspace,
    requests: all.filter((item) => item.workspace === workspace).length,
  }));
  let usage: UsageRow[] = [];
  const isHandedIn = async (): Promise<boolean> => {
    usage = await readUsage(this);
    return sent.every((item) => countBillable(usage, item.workspace) >= item.requests);
  };
  // The error that follows shows the usage.
  await until('the usage is handed in', isHandedIn, USAGE_LIMIT_MS).catch(() => {});
  const counted = sent.map(({ workspace }) => ({
    workspace,
    requests: countBillable(usage, workspace),
  }));
  assert.deepEqual(counted, sent, JSON.stringify(usage));
});

/** Usage of all windows: one may be frozen between a request and the reading. */
async function readUsage({ deployment }: ScenarioWorld): Promise<UsageRow[]> {
  const open = JSON.parse(await deployment.operate('usage', 'open', '--json')) as UsageRow[];
  const closed = JSON.parse(await deployment.operate('usage', 'windows', '--json')) as {
    report: string;
  }[];
  const reports = closed.map(({ report }) => JSON.parse(report) as { lines: UsageRow[] });
  return [...open, ...reports.flatMap(({ lines }) => lines)];
}

function countBillable(usage: readonly UsageRow[], workspace: string): number {
  const rows = usage.filter((row) => row.workspace === workspace && row.billable);
  return rows.reduce((sum, { requests }) => sum + requests, 0);
}
