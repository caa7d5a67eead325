import { DisposableStore, type Journal, type Timer } from '@berylwood/base';
import type { ContentQuarantine, Suspicion, SuspicionChange } from '@berylwood/policy';
import type { Mesh } from '@berylwood/registry';
import { gatewayEvents } from './events';

/** Interval at which changed suspicions are sent, in milliseconds; far below the time of a prefill. */
const SHARE_INTERVAL_MS = 50;

/** Bounds of what is accepted from another instance: suspicions, witnesses of each, characters of a key. */
const MAX_SUSPICIONS = 8192;
const MAX_WITNESSES = 16;
const MAX_KEY_LENGTH = 512;

const isCount = (value: unknown): boolean => Number.isSafeInteger(value) && (value as number) >= 0;

const isKey = (value: unknown): boolean =>
  typeof value === 'string' && value.length <= MAX_KEY_LENGTH;

function isSuspicion(value: unknown): value is Suspicion {
  if (!Array.isArray(value) || value.length !== 3) return false;
  const [content, clearances, witnesses] = value as unknown[];
  const areWitnesses =
    Array.isArray(witnesses) && witnesses.length <= MAX_WITNESSES && witnesses.every(isKey);
  return isKey(content) && isCount(clearances) && areWitnesses;
}

/** Parts that the sharing of suspicions connects. @internal */
export interface SuspicionSharingOptions {
  readonly quarantine: ContentQuarantine;
  readonly mesh: Pick<Mesh, 'suspicions' | 'onSuspicions' | 'sendSuspicions' | 'forwardSuspicions'>;
  readonly timer: Timer;
  readonly journal: Journal;
}

/** Shares the suspicions of all instances, and logs which content is quarantined. @internal */
export class SuspicionSharing implements Disposable {
  readonly #options: SuspicionSharingOptions;

  readonly #store = new DisposableStore();

  /** Suspicions changed by requests of this instance since the last message. */
  readonly #own = new Map<string, Suspicion>();

  /** Suspicions received from other instances since the last message. */
  readonly #received = new Map<string, Suspicion>();

  #isReceiving = false;

  constructor(options: SuspicionSharingOptions) {
    this.#options = options;
    const { quarantine, mesh, timer } = options;
    quarantine.onChange = (change) => this.#handleChange(change);
    mesh.suspicions = () => quarantine.suspicions;
    mesh.onSuspicions = (value) => this.#receive(value);
    this.#store.add(timer.every(SHARE_INTERVAL_MS, () => this.#share()));
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }

  #receive(value: unknown): void {
    const { quarantine, timer, journal } = this.#options;
    if (!Array.isArray(value) || value.length > MAX_SUSPICIONS || !value.every(isSuspicion)) {
      journal.record(gatewayEvents.suspicionsInvalid, {});
      return;
    }
    this.#isReceiving = true;
    quarantine.merge(value, timer.now());
    this.#isReceiving = false;
  }

  #handleChange({ suspicion, before, after }: SuspicionChange): void {
    const [content, clearances, witnesses] = suspicion;
    (this.#isReceiving ? this.#received : this.#own).set(content, suspicion);
    const wasQuarantined = before === 'quarantined';
    if (wasQuarantined === (after === 'quarantined')) return;
    const event = wasQuarantined ? gatewayEvents.contentCleared : gatewayEvents.contentQuarantined;
    this.#options.journal.record(event, { content, clearances, witnesses });
  }

  #share(): void {
    const { mesh } = this.#options;
    // What exceeds the bound of receivers is dropped: it is shared again with the next crash.
    const listOf = (changed: Map<string, Suspicion>): Suspicion[] =>
      [...changed.values()].slice(0, MAX_SUSPICIONS);
    if (this.#own.size > 0) mesh.sendSuspicions(listOf(this.#own));
    if (this.#received.size > 0) mesh.forwardSuspicions(listOf(this.#received));
    this.#own.clear();
    this.#received.clear();
  }
}
