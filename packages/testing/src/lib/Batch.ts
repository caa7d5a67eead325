import type { Timer } from '@berylwood/base';

/** Rates and sizes of a simulated engine. @public */
export interface BatchOptions {
  readonly timer: Timer;
  /** Streams that generate at a time. */
  readonly slots: number;
  /** Prompt tokens read a second. */
  readonly prefillRate: number;
  /** Tokens generated a second by each stream. */
  readonly decodeRate: number;
}

/** One generation. @public */
export interface Generation {
  readonly id: string;
  /** Lower numbers run first. */
  readonly priority: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly answerTokens: number;
  /** Called with the number of tokens generated so far. */
  onProgress: (tokens: number) => void;
  /** Called when the generation was cancelled or the engine crashed. */
  onAbort: () => void;
}

interface Slot {
  readonly generation: Generation;
  prefillLeft: number;
  tokens: number;
}

const TICK_MS = 10;
const MS_PER_S = 1000;

/** Simulates continuous batching: a priority queue before slots with prefill and decode. @public */
export class Batch implements Disposable {
  /** Factor on both rates; below 1 the engine is slow. */
  speed = 1;

  readonly #options: BatchOptions;

  #waiting: Generation[] = [];

  readonly #running = new Map<string, Slot>();

  readonly #interval: Disposable;

  #lastTick: number;

  #generated = 0;

  constructor(options: BatchOptions) {
    this.#options = options;
    this.#lastTick = options.timer.now();
    this.#interval = options.timer.every(TICK_MS, () => this.#tick());
  }

  get runningCount(): number {
    return this.#running.size;
  }

  get waitingCount(): number {
    return this.#waiting.length;
  }

  /** Prompt tokens that still wait for prefill. */
  get prefillTokens(): number {
    const running = [...this.#running.values()].reduce((sum, slot) => sum + slot.prefillLeft, 0);
    return Math.ceil(running + this.#waiting.reduce((sum, item) => sum + item.promptTokens, 0));
  }

  /** Tokens generated since the start. */
  get generatedTokens(): number {
    return Math.floor(this.#generated);
  }

  submit(generation: Generation): void {
    const at = this.#waiting.findIndex(({ priority }) => priority > generation.priority);
    this.#waiting.splice(at < 0 ? this.#waiting.length : at, 0, generation);
    this.#fill();
  }

  /** Ends a generation early; false when it is not here. */
  cancel(id: string): boolean {
    const waiting = this.#waiting.find((item) => item.id === id);
    const found = waiting ?? this.#running.get(id)?.generation;
    if (!found) return false;
    this.#waiting = this.#waiting.filter((item) => item !== found);
    this.#running.delete(id);
    found.onAbort();
    this.#fill();
    return true;
  }

  [Symbol.dispose](): void {
    this.#interval[Symbol.dispose]();
    for (const slot of this.#running.values()) slot.generation.onAbort();
    for (const generation of this.#waiting) generation.onAbort();
  }

  #fill(): void {
    while (this.#running.size < this.#options.slots) {
      const generation = this.#waiting.shift();
      if (!generation) return;
      const prefillLeft = generation.promptTokens - generation.cachedTokens;
      this.#running.set(generation.id, { generation, prefillLeft, tokens: 0 });
    }
  }

  #tick(): void {
    const now = this.#options.timer.now();
    const elapsedS = (now - this.#lastTick) / MS_PER_S;
    this.#lastTick = now;
    let prefillBudget = this.#options.prefillRate * this.speed * elapsedS;
    for (const slot of [...this.#running.values()]) {
      const prefill = Math.min(prefillBudget, slot.prefillLeft);
      slot.prefillLeft -= prefill;
      prefillBudget -= prefill;
      if (slot.prefillLeft <= 0) this.#decode(slot, elapsedS);
    }
    this.#fill();
  }

  #decode(slot: Slot, elapsedS: number): void {
    const { generation } = slot;
    const before = Math.floor(slot.tokens);
    const step = this.#options.decodeRate * this.speed * elapsedS;
    slot.tokens = Math.min(generation.answerTokens, slot.tokens + step);
    const after = Math.floor(slot.tokens);
    if (after === before) return;
    this.#generated += after - before;
    if (after >= generation.answerTokens) this.#running.delete(generation.id);
    generation.onProgress(after);
  }
}
