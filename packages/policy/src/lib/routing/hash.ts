/* eslint-disable no-bitwise -- hashes of 32-bit integers */

const FNV_OFFSET = 0x811c9dc5;

const FNV_PRIME = 0x01000193;

/** FNV-1a hash of a string's UTF-16 units, as an unsigned 32-bit integer. @internal */
export function hashString(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return mixHash(hash);
}

/** Spreads the bits of an integer, as in MurmurHash3; unsigned 32-bit. @internal */
export function mixHash(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Hash of two hashes, as an unsigned 32-bit integer. @internal */
export function combineHashes(a: number, b: number): number {
  return mixHash(a ^ Math.imul(b, FNV_PRIME));
}
