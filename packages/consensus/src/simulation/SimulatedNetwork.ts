import type { Random, Timer } from '@berylwood/base';
import type { ReplicaName } from '../lib/ids';
import type { Message } from '../lib/Message';
import { Transport } from '../lib/Transport';

/** How the network treats messages; probabilities in [0, 1], times in milliseconds. */
export interface NetworkQuality {
  readonly lossRate: number;
  readonly duplicateRate: number;
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
}

/** A network that loses, repeats, delays and reorders messages, and can be partitioned. */
export class SimulatedNetwork {
  quality: NetworkQuality = { lossRate: 0, duplicateRate: 0, minDelayMs: 1, maxDelayMs: 3 };

  /** Decides on each message whether it is dropped on purpose. */
  filter: (message: Message) => boolean = () => true;

  readonly #timer: Timer;

  readonly #random: Random;

  readonly #ends = new Map<ReplicaName, (message: Message) => void>();

  /** Pairs that can not reach each other, as `from>to`. */
  readonly #cut = new Set<string>();

  constructor(timer: Timer, random: Random) {
    this.#timer = timer;
    this.#random = random;
  }

  /** Sets what receives the messages for a replica. */
  attach(replica: ReplicaName, receive: (message: Message) => void): void {
    this.#ends.set(replica, receive);
  }

  /** Cuts two groups of replicas off from each other; one way only if asked. */
  partition(side: readonly ReplicaName[], other: readonly ReplicaName[], oneWay = false): void {
    for (const a of side) {
      for (const b of other) {
        this.#cut.add(`${a}>${b}`);
        if (!oneWay) this.#cut.add(`${b}>${a}`);
      }
    }
  }

  heal(): void {
    this.#cut.clear();
  }

  send(from: ReplicaName, to: ReplicaName, message: Message): void {
    const { lossRate, duplicateRate } = this.quality;
    if (!this.filter(message)) return;
    if (this.#random.next() >= lossRate) this.#deliver(from, to, message);
    if (this.#random.next() < duplicateRate) this.#deliver(from, to, message);
  }

  #deliver(from: ReplicaName, to: ReplicaName, message: Message): void {
    const { minDelayMs, maxDelayMs } = this.quality;
    const delay = minDelayMs + this.#random.below(maxDelayMs - minDelayMs + 1);
    this.#timer.after(delay, () => {
      if (!this.#cut.has(`${from}>${to}`)) this.#ends.get(to)?.(message);
    });
  }
}

/** The end of one process's life at a simulated network. */
export class SimulatedTransport extends Transport {
  readonly #network: SimulatedNetwork;

  readonly #replica: ReplicaName;

  constructor(network: SimulatedNetwork, replica: ReplicaName) {
    super();
    this.#network = network;
    this.#replica = replica;
  }

  override send(to: ReplicaName, message: Message): void {
    this.#network.send(this.#replica, to, message);
  }
}
