import type { Timer } from '@berylwood/base';

/** An instance as the platform lists it. @public */
export interface Instance {
  readonly endpoint: string;
  readonly instance: string;
  readonly dataCentre: string;
  readonly state: 'live' | 'leaving';
}

/** List of live and leaving instances, which shows changes late. @internal */
export class InstanceList {
  readonly #timer: Timer;

  readonly #lagMs: number;

  readonly #visible = new Map<string, Instance>();

  constructor(timer: Timer, lagMs: number) {
    this.#timer = timer;
    this.#lagMs = lagMs;
  }

  get instances(): Instance[] {
    return [...this.#visible.values()];
  }

  set(instance: Instance): void {
    this.#timer.after(this.#lagMs, () => this.#visible.set(instance.endpoint, instance));
  }

  remove(endpoint: string): void {
    this.#timer.after(this.#lagMs, () => this.#visible.delete(endpoint));
  }
}
