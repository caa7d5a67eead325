import { Packr, Unpackr } from 'msgpackr';
import type { CommandOf } from './Command';

const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

/** Maximum number of backup bytes in one command. */
const PART_BYTES = 256 * 1024;

/** Splits a backup into the commands that restore it into a new group. @public */
export function splitBackup(backup: Uint8Array, at: number): CommandOf<'restorePart'>[] {
  const parts = Math.max(1, Math.ceil(backup.byteLength / PART_BYTES));
  return Array.from({ length: parts }, (_, index) => ({
    type: 'restorePart',
    at,
    part: index + 1,
    parts,
    bytes: backup.subarray(index * PART_BYTES, (index + 1) * PART_BYTES),
  }));
}

/** Collects the parts of a backup until it is complete. @internal */
export class Restoration {
  #parts: Uint8Array[] = [];

  /** Adds the next part. Returns false when it is out of order. Part 1 discards earlier parts. */
  add({ part, bytes }: CommandOf<'restorePart'>): boolean {
    if (part === 1) this.#parts = [];
    if (part !== this.#parts.length + 1) return false;
    this.#parts.push(Uint8Array.from(bytes));
    return true;
  }

  /** Returns the complete backup and discards its parts. */
  assemble(): Uint8Array {
    const whole = Buffer.concat(this.#parts);
    this.#parts = [];
    return whole;
  }

  toState(): Uint8Array {
    return packr.pack(this.#parts);
  }

  restore(state: Uint8Array | undefined): void {
    this.#parts = state ? (unpackr.unpack(state) as Uint8Array[]) : [];
  }
}
