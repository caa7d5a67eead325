import { combineHashes, hashString } from './hash';

/**
 * Rendezvous hashing (highest random weight): all entries agree on the home of a key without
 * talking to each other, and when a member comes or goes only its own keys move. A lookup is linear
 * in the members, with a few integer operations for each; a change costs one hash per member.
 * @internal
 */
export class RendezvousHash<T> {
  readonly #members: readonly T[];

  readonly #hashes: Uint32Array;

  constructor(members: readonly T[], nameOf: (member: T) => string) {
    this.#members = members;
    this.#hashes = Uint32Array.from(members, (member) => hashString(nameOf(member)));
  }

  /** Member that a key belongs to; undefined when there are none. */
  find(key: string): T | undefined {
    const hash = hashString(key);
    let best = 0;
    let bestWeight = -1;
    for (let i = 0; i < this.#hashes.length; i += 1) {
      const weight = combineHashes(hash, this.#hashes[i] as number);
      if (weight <= bestWeight) continue;
      best = i;
      bestWeight = weight;
    }
    return this.#members[best];
  }
}
