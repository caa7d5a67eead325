import type { Timer } from '@berylwood/base';

/** Rates and sizes of a simulated engine. @public */
export interface BatchOptions {
  readonly timer: Timer;
  /** Streams that generate at a time. */
  readonly slots: number;
  /** Prompt tokens read a second. */
  readonly prefillRate: number;
  /** Tokens generated a second by each stream when it runs alone. */
  readonly decodeRate: number;
  /** Slowdown of each stream by each further one: its rate is decodeRate / (1 + this × others). */
  readonly batchSlowdown?: number;
}

/** One generation. @public */
export interface Generation {
  readonly id: string;
  /** Lower numbers run first. */
  readonly priority: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Prompt tokens that need no prefill; asked for when the generation gets its first slot. */
  readonly findCached: () => number;
  /** Called with the number of tokens generated so far. */
  onProgress: (tokens: number) => void;
  /** Called when the generation was cancelled or the engine crashed. */
  onAbort: () => void;
}

interface Entry {
  readonly generation: Generation;
  /** Unknown until the first slot. */
  prefillLeft: number | undefined;
  tokens: number;
}

const TICK_MS = 10;
const MS_PER_S = 1000;

/** Simulates continuous batching: a priority queue before slots with prefill and decode. @public */
export class Batch implements Disposable {
  /** Factor on both rates; below 1 the engine is slow. */
  speed = 1;

  readonly #options: BatchOptions;

  #waiting: Entry[] = [];

  readonly #running = new Map<string, Entry>();

  readonly #paused = new Map<string, Entry>();

  readonly #interval: Disposable;

  #lastTick: number;

  #generated = 0;

  constructor(options: BatchOptions) {
    this.#options = options;
    this.#lastTick = options.timer.now();
    this.#interval = options.timer.every(TICK_MS, () => this.#tick());
  }

  get slots(): number {
    return this.#options.slots;
  }

  get runningCount(): number {
    return this.#running.size;
  }

  get waitingCount(): number {
    return this.#waiting.length;
  }

  /** Prompt tokens that still wait for prefill. */
  get prefillTokens(): number {
    const left = ({ generation, prefillLeft }: Entry) => prefillLeft ?? generation.promptTokens;
    const entries = [...this.#running.values(), ...this.#waiting];
    return Math.ceil(entries.reduce((sum, entry) => sum + left(entry), 0));
  }

  /** Tokens generated since the start. */
  get generatedTokens(): number {
    return this.#generated;
  }

  /** @param tokens - tokens that another engine has generated already, with their KV cache. */
  submit(generation: Generation, tokens?: number): void {
    const isImported = tokens !== undefined;
    this.#enqueue({ generation, prefillLeft: isImported ? 0 : undefined, tokens: tokens ?? 0 });
  }

  /** Ends a generation early; false when it is not here. */
  cancel(id: string): boolean {
    const found = this.#take(id) ?? this.#paused.get(id);
    if (!found) return false;
    this.#paused.delete(id);
    found.generation.onAbort();
    this.#fill();
    return true;
  }

  /** Takes a generation off its slot and keeps its progress; false when it is not here. */
  pause(id: string): boolean {
    const found = this.#take(id);
    if (!found) return false;
    this.#paused.set(id, found);
    this.#fill();
    return true;
  }

  /** Queues a paused generation again; false when it is not paused. */
  unpause(id: string): boolean {
    const found = this.#paused.get(id);
    if (!found) return false;
    this.#paused.delete(id);
    this.#enqueue(found);
    return true;
  }

  isPaused(id: string): boolean {
    return this.#paused.has(id);
  }

  [Symbol.dispose](): void {
    this.#interval[Symbol.dispose]();
    const entries = [...this.#running.values(), ...this.#waiting, ...this.#paused.values()];
    for (const { generation } of entries) generation.onAbort();
  }

  #enqueue(entry: Entry): void {
    const { priority } = entry.generation;
    const at = this.#waiting.findIndex(({ generation }) => generation.priority > priority);
    this.#waiting.splice(at < 0 ? this.#waiting.length : at, 0, entry);
    this.#fill();
  }

  #take(id: string): Entry | undefined {
    const found =
      this.#running.get(id) ?? this.#waiting.find(({ generation }) => generation.id === id);
    this.#running.delete(id);
    this.#waiting = this.#waiting.filter((entry) => entry !== found);
    return found;
  }

  #fill(): void {
    while (this.#running.size < this.#options.slots) {
      const entry = this.#waiting.shift();
      if (!entry) return;
      const { generation } = entry;
      entry.prefillLeft ??= generation.promptTokens - generation.findCached();
      this.#running.set(generation.id, entry);
    }
  }

  #tick(): void {
    const now = this.#options.timer.now();
    const elapsedS = ((now - this.#lastTick) / MS_PER_S) * this.speed;
    this.#lastTick = now;
    const { prefillRate, decodeRate, batchSlowdown = 0 } = this.#options;
    const others = Math.max(0, this.#running.size - 1);
    const step = (decodeRate * elapsedS) / (1 + batchSlowdown * others);
    let prefillBudget = prefillRate * elapsedS;
    for (const entry of [...this.#running.values()]) {
      const prefill = Math.min(prefillBudget, entry.prefillLeft ?? 0);
      entry.prefillLeft = (entry.prefillLeft ?? 0) - prefill;
      prefillBudget -= prefill;
      if (entry.prefillLeft <= 0) this.#decode(entry, step);
    }
    this.#fill();
  }

  #decode(entry: Entry, step: number): void {
    const { generation } = entry;
    const before = Math.floor(entry.tokens);
    entry.tokens = Math.min(generation.answerTokens, entry.tokens + step);
    const after = Math.floor(entry.tokens);
    if (after === before) return;
    this.#generated += after - before;
    if (after >= generation.answerTokens) this.#running.delete(generation.id);
    generation.onProgress(after);
  }
}
