/* eslint-disable no-bitwise -- hashes of 32-bit integers */

const FNV_OFFSET = 0x811c9dc5;

const FNV_PRIME = 0x01000193;

/**
 * Rendezvous hashing (highest random weight). All entries map a key to the same member without
 * communicating. When a member joins or leaves, only the keys of that member move. A lookup is linear
 * in the number of members, with a few integer operations for each. A change of the members costs one
 * hash per member.
 * @internal
 */
export class RendezvousHash<T> {
  readonly #members: readonly T[];

  readonly #hashes: Uint32Array;

  constructor(members: readonly T[], nameOf: (member: T) => string) {
    this.#members = members;
    this.#hashes = Uint32Array.from(members, (member) => hashString(nameOf(member)));
  }

  /** Member that owns the key, or undefined without members. */
  find(key: string): T | undefined {
    const hash = hashString(key);
    let best = 0;
    let bestWeight = -1;
    for (let i = 0; i < this.#hashes.length; i += 1) {
      const weight = mix(hash ^ Math.imul(this.#hashes[i] as number, FNV_PRIME));
      if (weight <= bestWeight) continue;
      best = i;
      bestWeight = weight;
    }
    return this.#members[best];
  }
}

/** FNV-1a hash of a string's UTF-16 units with a final mix, as an unsigned 32-bit integer. */
function hashString(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return mix(hash);
}

/** Spreads the bits of an integer, as in MurmurHash3; unsigned 32-bit. */
function mix(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
