import { assign, createActor, fromPromise, setup, type ActorRefFrom } from 'xstate';
import type { Journal } from './Journal';
import { baseEvents } from './events';
import type { Task } from './Task';
import type { Timer } from './Timer';

/** Which children are restarted when one fails. @public */
export type Strategy = 'one-for-one' | 'one-for-all' | 'rest-for-one';

/** Options of a supervisor. @public */
export interface SupervisorOptions {
  readonly name: string;
  readonly strategy?: Strategy;
  /** Restarts allowed within `periodMs` before the supervisor itself fails. */
  readonly maxRestarts?: number;
  readonly periodMs?: number;
  /** Delay before a restart. */
  readonly delayMs?: number;
  readonly timer: Timer;
  readonly journal: Journal;
}

/** Creates a new task or supervisor for each start or restart. @public */
export type ChildFactory = () => Task | Task<unknown> | Supervisor;

interface Child {
  readonly factory: ChildFactory;
  current: ReturnType<ChildFactory> | undefined;
}

const DEFAULT_MAX_RESTARTS = 5;
const DEFAULT_PERIOD_MS = 10_000;
const DEFAULT_DELAY_MS = 100;

const machine = setup({
  types: {
    context: {} as { error: unknown },
    events: {} as
      | { type: 'stop' }
      | { type: 'childFailed'; error: unknown }
      | { type: 'recovered' }
      | { type: 'gaveUp'; error: unknown },
  },
  actors: { startChildren: fromPromise(async () => {}) },
}).createMachine({
  id: 'supervisor',
  context: { error: undefined },
  initial: 'starting',
  states: {
    starting: {
      invoke: {
        src: 'startChildren',
        onDone: 'running',
        onError: {
          target: 'failed',
          actions: assign({ error: ({ event }) => event.error }),
        },
      },
      on: { stop: 'stopped' },
    },
    running: { on: { childFailed: 'recovering', stop: 'stopped' } },
    recovering: {
      on: {
        recovered: 'running',
        gaveUp: { target: 'failed', actions: assign({ error: ({ event }) => event.error }) },
        stop: 'stopped',
      },
    },
    failed: { on: { stop: 'stopped' } },
    stopped: { type: 'final' },
  },
});

/**
 * Starts children in order, restarts them after failures up to `maxRestarts` within `periodMs`, and
 * stops them in reverse order. A supervisor can be the child of another.
 * @public
 */
export class Supervisor {
  readonly name: string;

  readonly #options: Required<SupervisorOptions>;

  readonly #children: Child[] = [];

  readonly #actor: ActorRefFrom<typeof machine>;

  #restartTimes: number[] = [];

  #finish: () => void = () => {};

  #abort: (error: unknown) => void = () => {};

  readonly #done: Promise<void>;

  constructor(options: SupervisorOptions) {
    this.name = options.name;
    this.#options = {
      strategy: 'one-for-one',
      maxRestarts: DEFAULT_MAX_RESTARTS,
      periodMs: DEFAULT_PERIOD_MS,
      delayMs: DEFAULT_DELAY_MS,
      ...options,
    };
    this.#done = new Promise((resolve, reject) => {
      this.#finish = resolve;
      this.#abort = reject;
    });
    // Prevents an unhandled rejection if the supervisor fails before `run` is called.
    this.#done.catch(() => {});
    this.#actor = createActor(
      machine.provide({ actors: { startChildren: fromPromise(() => this.#startAll()) } }),
    );
  }

  /** Current state of the supervisor's state machine. */
  get state(): string {
    return this.#actor.getSnapshot().value;
  }

  /** Adds a child; call before `start`. */
  add(factory: ChildFactory): this {
    this.#children.push({ factory, current: undefined });
    return this;
  }

  /** Starts the children in order. Rejects with the error of the first child that fails to start. */
  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#actor.subscribe((snapshot) => {
        if (snapshot.matches('running')) resolve();
        if (snapshot.matches('failed')) reject(snapshot.context.error);
      });
      this.#actor.start();
    });
  }

  /** Resolves once stopped. Rejects if the restart limit is exceeded or a restart fails. */
  run(): Promise<void> {
    return this.#done;
  }

  /** Stops the children in reverse order. */
  async stop(): Promise<void> {
    this.#actor.send({ type: 'stop' });
    await this.#stopFrom(0);
    this.#finish();
  }

  async #startAll(): Promise<void> {
    try {
      for (const child of this.#children) await this.#startChild(child);
    } catch (error) {
      await this.#stopFrom(0);
      throw error;
    }
  }

  async #startChild(child: Child): Promise<void> {
    const current = child.factory();
    child.current = current;
    await current.start();
    current.run().catch((error: unknown) => this.#onFailure(child, error));
  }

  async #stopFrom(index: number): Promise<void> {
    for (const child of this.#children.slice(index).reverse()) {
      const { current } = child;
      child.current = undefined;
      await current?.stop();
    }
  }

  #onFailure(child: Child, error: unknown): void {
    if (this.state !== 'running') return;
    this.#options.journal.record(baseEvents.childFailed, {
      supervisor: this.name,
      child: child.current?.name,
      error: String(error),
    });
    this.#actor.send({ type: 'childFailed', error });
    this.#recover(child).then(
      () => this.#actor.send({ type: 'recovered' }),
      (cause: unknown) => this.#giveUp(cause),
    );
  }

  #giveUp(error: unknown): void {
    this.#actor.send({ type: 'gaveUp', error });
    this.#stopFrom(0).finally(() => this.#abort(error));
  }

  async #recover(failed: Child): Promise<void> {
    const { timer, periodMs, maxRestarts, delayMs } = this.#options;
    const now = timer.now();
    this.#restartTimes = [...this.#restartTimes.filter((at) => at > now - periodMs), now];
    if (this.#restartTimes.length > maxRestarts) {
      throw new Error(`${this.name}: more than ${maxRestarts} restarts within ${periodMs} ms`);
    }
    const affected = this.#affected(failed);
    for (const child of [...affected].reverse()) await child.current?.stop();
    await timer.sleep(delayMs);
    for (const child of affected) {
      if (this.state !== 'recovering') return;
      await this.#startChild(child);
    }
  }

  #affected(failed: Child): Child[] {
    switch (this.#options.strategy) {
      case 'one-for-all':
        return this.#children;
      case 'rest-for-one':
        return this.#children.slice(this.#children.indexOf(failed));
      default:
        return [failed];
    }
  }
}
