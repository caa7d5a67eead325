import assert from 'node:assert/strict';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Given, Then, When } from '@cucumber/cucumber';
import { until } from '@berylwood/testing';
import { CUSTOMERS, PLANS } from '../support/lists';
import { sendRequest } from '../support/sendRequest';
import type { ScenarioWorld } from '../support/World';

async function giveKey(world: ScenarioWorld, workspace: string): Promise<void> {
  world.keys.push({ workspace, ...(await world.deployment.giveKey(workspace)) });
}

Given('a key for {string}', async function giveFirst(this: ScenarioWorld, workspace: string) {
  await giveKey(this, workspace);
});

Given('another key for {string}', async function giveNext(this: ScenarioWorld, workspace: string) {
  await giveKey(this, workspace);
});

/** Status that an entry answers to a short request with the first key, in a class if given. */
async function statusAt(world: ScenarioWorld, entry: number, className?: string): Promise<number> {
  const { reply } = await sendRequest(world, {
    entry,
    key: world.key,
    prompt: `probe ${Math.random()}`,
    answerTokens: 1,
    stream: false,
    class: className,
  });
  return reply?.status ?? 0;
}

Given('the key is accepted by both entries', async function checkAccepted(this: ScenarioWorld) {
  for (const entry of [1, 2]) {
    await until(
      `entry ${entry} accepts the key`,
      async () => (await statusAt(this, entry)) === 200,
    );
  }
});

When('the key is withdrawn', async function withdraw(this: ScenarioWorld) {
  this.stoppedAt = Date.now();
  await this.deployment.operate('keys', 'withdraw', this.key.key);
});

Then(
  'no entry accepts the key {int} seconds after the withdrawal',
  async function checkRefused(this: ScenarioWorld, seconds: number) {
    await until('the time has passed', () => Date.now() >= this.stoppedAt + seconds * 1000);
    for (const entry of [1, 2]) {
      const status = await statusAt(this, entry);
      assert.ok([401, 503].includes(status), `entry ${entry} answered ${status}`);
    }
  },
);

When(
  'the class {string} is added to the plan',
  async function addClass(this: ScenarioWorld, name: string) {
    const plans = join(this.deployment.folder, 'plans-2.toml');
    const customers = join(this.deployment.folder, 'customers-2.toml');
    writeFileSync(plans, PLANS.replace('report = 2 }', `report = 2, ${name} = 3 }`));
    writeFileSync(customers, CUSTOMERS);
    this.stoppedAt = Date.now();
    this.body = await this.deployment.operate('plans', 'apply', plans, customers);
  },
);

Then(
  'the command says that it is in force within {int} seconds',
  function checkInForce(this: ScenarioWorld, seconds: number) {
    assert.match(this.body, /revision 2 is in force/);
    assert.ok(Date.now() - this.stoppedAt < seconds * 1000, `${Date.now() - this.stoppedAt} ms`);
  },
);

Then('no entry works with the former plan', async function checkNone(this: ScenarioWorld) {
  for (const entry of [1, 2]) {
    const status = await statusAt(this, entry, 'batch');
    assert.ok([200, 503].includes(status), `entry ${entry} answered ${status}`);
  }
});

Then(
  'both entries accept the class {string} within {int} seconds',
  async function checkBoth(this: ScenarioWorld, name: string, seconds: number) {
    const accepted = async (entry: number): Promise<boolean> =>
      (await statusAt(this, entry, name)) === 200;
    for (const entry of [1, 2]) {
      await until(`entry ${entry} accepts the class`, () => accepted(entry), seconds * 1000);
    }
  },
);
