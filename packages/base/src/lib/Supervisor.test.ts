import assert from 'node:assert/strict';
import test from 'node:test';
import { createSilentJournal } from './Journal';
import { Supervisor, type Strategy } from './Supervisor';
import { SystemTimer } from './SystemTimer';
import { Task } from './Task';

class Probe extends Task<string> {
  readonly name: string;

  readonly #trace: string[];

  constructor(name: string, trace: string[]) {
    super();
    this.name = name;
    this.#trace = trace;
  }

  override async start(): Promise<void> {
    this.#trace.push(`start ${this.name}`);
    this.store.defer(() => this.#trace.push(`stop ${this.name}`));
  }

  protected override handle(message: string): void {
    if (message === 'crash') throw new Error('crash');
  }
}

function createTree(strategy: Strategy, maxRestarts = 5) {
  const timer = new SystemTimer();
  const trace: string[] = [];
  const latest = new Map<string, Probe>();
  const journal = createSilentJournal(timer);
  const tree = new Supervisor({ name: 'tree', strategy, timer, journal, delayMs: 1, maxRestarts });
  for (const name of ['a', 'b', 'c']) {
    tree.add(() => {
      const probe = new Probe(name, trace);
      latest.set(name, probe);
      return probe;
    });
  }
  return { tree, trace, crash: (name: string) => latest.get(name)?.post('crash') };
}

async function until(condition: () => boolean): Promise<void> {
  const timer = new SystemTimer();
  while (!condition()) await timer.sleep(1);
}

const restarts: [Strategy, string[]][] = [
  ['one-for-one', ['stop b', 'start b']],
  ['rest-for-one', ['stop c', 'stop b', 'start b', 'start c']],
  ['one-for-all', ['stop c', 'stop b', 'stop a', 'start a', 'start b', 'start c']],
];

for (const [strategy, expected] of restarts) {
  test(`${strategy} restarts the expected children in order`, async () => {
    const { tree, trace, crash } = createTree(strategy);
    await tree.start();
    trace.length = 0;
    crash('b');
    await until(() => tree.state === 'running' && trace.length === expected.length);
    assert.deepEqual(trace, expected);
    await tree.stop();
  });
}

test('stops children in reverse order', async () => {
  const { tree, trace } = createTree('one-for-one');
  await tree.start();
  trace.length = 0;
  await tree.stop();
  assert.deepEqual(trace, ['stop c', 'stop b', 'stop a']);
  await tree.run();
});

test('fails when the restart limit is exceeded', async () => {
  const { tree, crash } = createTree('one-for-one', 0);
  await tree.start();
  crash('a');
  await assert.rejects(tree.run(), /more than 0 restarts/);
  await tree.stop();
});
