import assert from 'node:assert/strict';
import { test } from 'node:test';
import { listedEndpoint, VirtualFleet } from '../fixtures/virtualFleet';
import type { Endpoint } from './Endpoint';

const STEP_MS = 10;
const OBJECTIVE_MS = 500;

/** Requests that all instances together would have in flight to the endpoint: its share of the demand. */
const SHARE = 30;

/** Requests of the whole pool in a step: 800 a second, as for some 20 engines with that share. */
const TRIES = 8;

/** Time from the first event to the end of a response, in milliseconds. */
const STREAM_MS = 700;

interface EngineState {
  /** Time to the first event, in milliseconds, or a failure. */
  readonly firstMs: (now: number, running: number) => number | 'fails';
}

/** Sends requests of a fleet to one engine, whose first events and failures each instance observes. */
class EngineLoad {
  readonly fleet: VirtualFleet;

  readonly engine: EngineState;

  running = 0;

  /** Largest number of requests that ran at the same time. */
  peak = 0;

  sent = 0;

  /** The endpoint as an instance knows it that cannot reach it. */
  cutOff: Endpoint | undefined;

  constructor(fleet: VirtualFleet, engine: EngineState) {
    this.fleet = fleet;
    this.engine = engine;
  }

  /** Endpoints of the instances, in their order; all of them stand for the engine. */
  get endpoints(): Endpoint[] {
    return this.fleet.instances.flatMap(({ directory }) => directory.endpoints);
  }

  /** Offers so many requests that the engine would run `SHARE` of them. */
  run(durationMs: number): void {
    const { timer, random } = this.fleet;
    const endsAt = timer.now() + durationMs;
    while (timer.now() < endsAt) {
      timer.advance(STEP_MS);
      const { endpoints } = this;
      // A request of the pool asks for the engine while the engine is below its share.
      for (let tries = 0; tries < TRIES; tries += 1) {
        const endpoint = endpoints[Math.floor(random.next() * endpoints.length)] as Endpoint;
        if (this.running < SHARE && endpoint.isUsable) this.#offer(endpoint);
      }
    }
  }

  /** Lets all instances offer at the same time, as with views of the load that are out of date. */
  flood(perInstance: number): void {
    for (const endpoint of this.endpoints) {
      for (let left = perInstance; left > 0; left -= 1) {
        if (endpoint.isUsable) this.#offer(endpoint);
      }
    }
  }

  #offer(endpoint: Endpoint): void {
    if (!endpoint.pace.allowsRequest) {
      endpoint.pace.passedOver();
      return;
    }
    const { timer } = this.fleet;
    const isCutOff = endpoint === this.cutOff;
    const firstMs = isCutOff ? 'fails' : this.engine.firstMs(timer.now(), this.running);
    this.running += 1;
    this.sent += 1;
    this.peak = Math.max(this.peak, this.running);
    endpoint.attemptStarted();
    const finish = (): void => {
      endpoint.attemptFinished();
      this.running -= 1;
    };
    if (firstMs === 'fails') {
      timer.after(STEP_MS, () => {
        finish();
        endpoint.unreachable();
      });
      return;
    }
    timer.after(firstMs, () => {
      endpoint.responded(firstMs <= OBJECTIVE_MS);
      timer.after(STREAM_MS, () => {
        finish();
        endpoint.answered();
      });
    });
  }
}

interface CaseOptions {
  readonly instances: number;
  readonly firstMs: EngineState['firstMs'];
  readonly hasLeader?: boolean;
  readonly delayMs?: number;
}

function createLoad({ instances, firstMs, hasLeader = true, delayMs }: CaseOptions): EngineLoad {
  const leaderOf = (): number | undefined => (hasLeader ? 0 : undefined);
  const fleet = new VirtualFleet({ instances, leaderOf, isPaced: true, delayMs });
  for (const { directory } of fleet.instances) directory.replace([listedEndpoint('e-1')]);
  fleet.timer.advance(1000);
  return new EngineLoad(fleet, { firstMs });
}

/** Ejects the endpoint on all instances, some of them for longer. */
function ejectEverywhere({ fleet, endpoints }: EngineLoad): void {
  for (const endpoint of endpoints) endpoint.unreachable();
  fleet.timer.advance(1500);
  for (const endpoint of endpoints) {
    assert.ok(endpoint.isUsable);
    endpoint.attemptStarted();
    endpoint.attemptFinished();
    endpoint.unreachable();
  }
}

/** Lets one instance find that the endpoint answers again. */
function answerOne({ endpoints, fleet }: EngineLoad): void {
  fleet.timer.advance(3000);
  const endpoint = endpoints[1] as Endpoint;
  assert.ok(endpoint.isUsable);
  endpoint.attemptStarted();
  endpoint.responded(true);
  endpoint.attemptFinished();
}

for (const instances of [3, 9, 26, 70]) {
  test(`a fast engine that answers one of ${instances} instances again is at its share within 1 s`, () => {
    const load = createLoad({ instances, firstMs: () => 70 });
    ejectEverywhere(load);
    answerOne(load);
    load.run(1000);
    assert.ok(load.running >= SHARE * 0.9, `${load.running}`);
  });

  test(`${instances} instances try an engine within 0.3 s that has answered one of them`, () => {
    const load = createLoad({ instances, firstMs: () => 70 });
    ejectEverywhere(load);
    load.fleet.timer.advance(1000);
    assert.ok(load.endpoints.every((endpoint) => !endpoint.isUsable));
    // The instance that has ejected it for a shorter time tries it first.
    const first = load.endpoints[1] as Endpoint;
    first.pace.begin('answered');
    first.pace.observe('inTime');
    load.fleet.timer.advance(300);
    const usable = load.endpoints.filter((endpoint) => endpoint !== first && endpoint.isUsable);
    assert.equal(usable.length, instances - 1);
  });

  test(`${instances} instances don't flood an engine that is slow at first`, () => {
    const load = createLoad({ instances, firstMs: (_, running) => (running > 6 ? 2000 : 400) });
    ejectEverywhere(load);
    answerOne(load);
    for (let round = 0; round < 20; round += 1) {
      load.flood(4);
      load.run(100);
    }
    // Six requests are answered in time, and each of these answers admits two more.
    assert.ok(load.peak <= 6 * 3 + 4, `${load.peak}`);
  });

  test(`${instances} instances with views half a second old don't flood an engine that is slow at first`, () => {
    const load = createLoad({ instances, firstMs: () => 1500, delayMs: 400 });
    ejectEverywhere(load);
    answerOne(load);
    for (let round = 0; round < 20; round += 1) {
      load.flood(4);
      load.run(100);
    }
    assert.ok(load.peak <= 8, `${load.peak}`);
  });

  test(`${instances} instances leave an engine that fails again`, () => {
    const load = createLoad({ instances, firstMs: () => 'fails' });
    ejectEverywhere(load);
    answerOne(load);
    const { sent } = load;
    for (let round = 0; round < 10; round += 1) {
      load.flood(4);
      load.run(100);
    }
    assert.ok(load.sent - sent <= 12, `${load.sent - sent}`);
  });
}

test('a new endpoint is paced, and one of the first list is not', () => {
  const { fleet } = createLoad({ instances: 3, firstMs: () => 70 });
  const [first] = fleet.instances;
  const entries = [listedEndpoint('e-1'), listedEndpoint('e-2')];
  first?.directory.replace(entries);
  const isRecovering = first?.directory.endpoints.map(({ pace }) => pace.isRecovering);
  assert.deepEqual(isRecovering, [false, true]);
});

for (const instances of [3, 26]) {
  test(`${instances} instances without a leader go by their own observations`, () => {
    const load = createLoad({ instances, firstMs: () => 70, hasLeader: false });
    ejectEverywhere(load);
    load.fleet.timer.advance(3000);
    load.run(2000);
    assert.ok(load.running >= SHARE * 0.9, `${load.running}`);
  });
}

test('a recovery ends on all instances, and nothing is paced then', () => {
  const load = createLoad({ instances: 9, firstMs: () => 70 });
  ejectEverywhere(load);
  answerOne(load);
  load.run(4000);
  assert.ok(load.endpoints.every(({ pace }) => !pace.isRecovering && pace.allowsRequest));
});

test('without the setting, an ejected endpoint is tried by each instance on its own as before', () => {
  const load = createLoad({ instances: 3, firstMs: () => 70 });
  for (const { directory } of load.fleet.instances) directory.isPaced = false;
  ejectEverywhere(load);
  answerOne(load);
  assert.ok(load.endpoints.every(({ pace }) => !pace.isRecovering));
});

test('reports and updates about recoveries that cannot be read change nothing', () => {
  const { fleet } = createLoad({ instances: 3, firstMs: () => 70 });
  const { pace, directory } = fleet.instances[1] as VirtualFleet['instances'][number];
  const key = 'e-1 127.0.0.1:1';
  const many = Array.from({ length: 1000 }, () => [key, 4, 1, true, null, 0]);
  const invalid = ['text', { pace: 1 }, { pace: [[key, -1, 0, true, null, 0]] }, { pace: many }];
  for (const value of invalid) {
    pace.attachments.receiveUpdate(value);
    pace.attachments.receiveReport('x', value);
  }
  pace.attachments.receiveUpdate({ pace: [['unknown', 4, 1, true, null, 0]] });
  assert.equal(directory.endpoints[0]?.pace.isRecovering, false);
});

test('one instance that cannot reach a recovered endpoint does not make the others leave it', () => {
  const load = createLoad({ instances: 9, firstMs: () => 70 });
  ejectEverywhere(load);
  answerOne(load);
  const [, , , cutOff] = load.endpoints;
  load.cutOff = cutOff;
  load.run(3000);
  assert.ok(load.running >= SHARE * 0.9, `${load.running}`);
});
