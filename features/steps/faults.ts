import assert from 'node:assert/strict';
import { When } from '@cucumber/cucumber';
import type { RelayMode } from '@berylwood/testing';
import type { ScenarioWorld } from '../support/World';

const MODES: Record<string, RelayMode> = { silent: 'silent', refused: 'refuse', passing: 'pass' };

const MS_PER_S = 1000;

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

function setConnection(world: ScenarioWorld, name: string, state: string): void {
  const [from = '', to = ''] = name.split('>');
  const relay = world.deployment.relay(from, to);
  if (state === 'reset') relay.reset();
  else {
    const mode = MODES[state];
    assert.ok(mode, `no such state of a connection: ${state}`);
    relay.set(mode);
  }
}

When(
  /^the connection "(.*)" is (silent|refused|reset|passing)$/,
  function switchConnection(this: ScenarioWorld, name: string, state: string) {
    setConnection(this, name, state);
  },
);

When(
  /^the connection "(.*)" is passing after (\d+) seconds$/,
  async function healLater(this: ScenarioWorld, name: string, seconds: string) {
    await sleep(Number(seconds) * MS_PER_S);
    setConnection(this, name, 'passing');
  },
);

When('{string} is killed', async function kill(this: ScenarioWorld, name: string) {
  await this.deployment.process(name).kill();
});

When('{string} is frozen', function freeze(this: ScenarioWorld, name: string) {
  this.deployment.process(name).freeze();
});

When('{string} is thawed', function thaw(this: ScenarioWorld, name: string) {
  this.deployment.process(name).thaw();
});

When('{string} is asked to stop', function askToStop(this: ScenarioWorld, name: string) {
  this.stoppedAt = Date.now();
  this.deployment.process(name).signal('SIGTERM');
});

When('{string} is stopped and has ended', async function stop(this: ScenarioWorld, name: string) {
  const exit = await this.deployment.process(name).stop();
  assert.equal(exit?.code, 0, `${name} ended with ${JSON.stringify(exit)}`);
});

When('{string} is started again', function restart(this: ScenarioWorld, name: string) {
  this.deployment.process(name).start();
});
