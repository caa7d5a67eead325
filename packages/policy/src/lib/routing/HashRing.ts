import { hashString } from './hash';

/** Points of each member on the ring: more make the parts more even. */
const POINTS_PER_MEMBER = 32;

/**
 * Consistent hashing: all entries agree on the home of a prefix without talking to each other, and
 * few homes move when a member comes or goes. A lookup takes O(log n).
 * @internal
 */
export class HashRing<T> {
  readonly #hashes: Uint32Array;

  readonly #members: readonly T[];

  constructor(members: readonly T[], nameOf: (member: T) => string) {
    const points = members.flatMap((member) =>
      Array.from({ length: POINTS_PER_MEMBER }, (_, point) => ({
        hash: hashString(`${nameOf(member)} ${point}`),
        member,
      })),
    );
    points.sort((a, b) => a.hash - b.hash);
    this.#hashes = Uint32Array.from(points, ({ hash }) => hash);
    this.#members = points.map(({ member }) => member);
  }

  /** Member that a key belongs to; undefined on an empty ring. */
  find(key: string): T | undefined {
    const hash = hashString(key);
    let low = 0;
    let high = this.#hashes.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.#hashes[middle] as number) < hash) low = middle + 1;
      else high = middle;
    }
    return this.#members[low % this.#members.length];
  }
}
