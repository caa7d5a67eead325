import assert from 'node:assert/strict';
import test from 'node:test';
import { until } from '@berylwood/testing';
import {
  TEST_TIMEOUT,
  createDeployment,
  createEngines,
  stream,
  completeText,
  type ProcessFixture,
} from './fixtures';

/** Callers that send requests one after another through the ready entries until `end` is called. */
class Callers {
  readonly faults: string[] = [];

  count = 0;

  #isEnding = false;

  readonly #loops: Promise<void>[];

  constructor(fixture: ProcessFixture, count: number) {
    this.#loops = Array.from({ length: count }, (_, index) => this.#loop(fixture, index));
  }

  async end(): Promise<void> {
    this.#isEnding = true;
    await Promise.all(this.#loops);
  }

  async #loop(fixture: ProcessFixture, index: number): Promise<void> {
    for (let turn = 0; !this.#isEnding; turn += 1) {
      const prompt = `caller ${index} turn ${turn}`;
      const entry = await this.#readyEntry(fixture, index);
      const reply = await stream(fixture, prompt, 20, entry).catch((error: unknown) => error);
      if ((reply as { text?: string }).text !== completeText(prompt, 20)) {
        this.faults.push(
          `${prompt} over entry ${entry}: ${JSON.stringify(reply)} ${String(reply)}`,
        );
      }
      this.count += 1;
    }
  }

  /** Selects an entry that reports ready, as a load balancer does. */
  async #readyEntry({ deployment }: ProcessFixture, index: number): Promise<number> {
    for (const number of index % 2 === 0 ? [1, 2] : [2, 1]) {
      const isReady = await fetch(`${deployment.entryUrl(number)}/readyz`).then(
        ({ ok }) => ok,
        () => false,
      );
      if (isReady) return number;
    }
    return 1;
  }
}

test(
  'planned stops of entries and sidecars interrupt and reject no request',
  TEST_TIMEOUT,
  async (t) => {
    const fixture = await createDeployment(t, {
      entries: 2,
      endpoints: createEngines(3),
    });
    const { deployment } = fixture;
    const callers = new Callers(fixture, 8);
    for (const name of ['sidecar-engine-1', 'entry-1', 'sidecar-engine-2', 'entry-2']) {
      const seen = callers.count;
      await until('requests pass', () => callers.count > seen + 8);
      const exit = await deployment.process(name).stop();
      assert.equal(exit?.code, 0, name);
      deployment.process(name).start();
      if (!name.startsWith('entry')) continue;
      const url = deployment.entryUrl(Number(name.at(-1)));
      await until(`${name} is ready`, async () => (await fetch(`${url}/readyz`)).ok);
    }
    await callers.end();
    assert.deepEqual(callers.faults, []);
  },
);
