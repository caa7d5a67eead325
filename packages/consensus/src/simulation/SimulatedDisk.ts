import type { Random, VirtualTimer } from '@berylwood/base';
import { Disk } from '../lib/Disk';
import { decodeFrame } from '../lib/frame';

/** Time of a write and its sync, in milliseconds. */
const MIN_SYNC_MS = 1;
const MAX_SYNC_MS = 6;

interface Operation {
  /** Makes the whole change durable. */
  readonly complete: () => void;
  /** Leaves what a crash in the middle of the change leaves. */
  readonly interrupt: () => void;
}

/**
 * Files in memory. A crash leaves a torn or garbled part of the writes that were not synced; bytes
 * that were synced may be flipped, or the whole disk may be lost.
 */
export class SimulatedDisk extends Disk {
  /** Runs the end of an operation in the process that asked for it; undefined once that process has ended. */
  resume: ((callback: () => void) => void) | undefined = (callback) => callback();

  /** Time that each sync takes longer; replacing a file needs two. */
  slownessMs = 0;

  readonly #timer: VirtualTimer;

  readonly #random: Random;

  #files = new Map<string, Buffer>();

  readonly #pending = new Set<Operation>();

  constructor(timer: VirtualTimer, random: Random) {
    super();
    this.#timer = timer;
    this.#random = random;
  }

  override async list(): Promise<string[]> {
    return [...this.#files.keys()].sort();
  }

  override async read(name: string): Promise<Uint8Array> {
    const file = this.#files.get(name);
    if (!file) throw new Error(`no file ${name}`);
    return Buffer.from(file);
  }

  override append(name: string, bytes: Uint8Array): Promise<void> {
    const add = (part: Uint8Array): void => {
      this.#files.set(name, Buffer.concat([this.#files.get(name) ?? Buffer.alloc(0), part]));
    };
    return this.#start({
      complete: () => add(bytes),
      interrupt: () => add(this.#torn(bytes)),
    });
  }

  override replace(name: string, bytes: Uint8Array): Promise<void> {
    const complete = (): void => {
      this.#files.set(name, Buffer.from(bytes));
    };
    return this.#start({ complete, interrupt: () => this.#perhaps(complete) }, 2);
  }

  override truncate(name: string, length: number): Promise<void> {
    const complete = (): void => {
      const file = this.#files.get(name);
      if (file) this.#files.set(name, file.subarray(0, length));
    };
    return this.#start({ complete, interrupt: () => this.#perhaps(complete) });
  }

  override remove(name: string): Promise<void> {
    const complete = (): void => {
      this.#files.delete(name);
    };
    return this.#start({ complete, interrupt: () => this.#perhaps(complete) });
  }

  override async close(): Promise<void> {
    // Nothing is held.
  }

  /** Stops the machine: operations on their way are left half done and never resolve. */
  crash(): void {
    const pending = [...this.#pending];
    this.#pending.clear();
    pending.forEach(({ interrupt }) => interrupt());
  }

  /** Loses all files. */
  wipe(): void {
    this.#pending.clear();
    this.#files.clear();
  }

  /**
   * Flips a bit in the part of a segment that later writes prove to have been synced. Returns
   * false if there is no such part.
   */
  flip(): boolean {
    const found = [...this.#files].flatMap(([name, file]) => {
      const end = name.startsWith('log-') ? startOfLastFrame(file) : 0;
      return end > 0 ? [{ file, end }] : [];
    });
    if (found.length === 0) return false;
    const { file, end } = this.#random.pick(found);
    const offset = this.#random.below(end);
    // eslint-disable-next-line no-bitwise -- flips one bit
    file[offset] = (file[offset] ?? 0) ^ (1 << this.#random.below(8));
    return true;
  }

  #start(operation: Operation, syncs = 1): Promise<void> {
    const { resume } = this;
    // A process that has ended may still run to its next pause, but writes no more.
    if (!resume) return new Promise(() => {});
    this.#pending.add(operation);
    return new Promise((resolve) => {
      const syncMs = syncs * this.slownessMs + MIN_SYNC_MS + this.#random.below(MAX_SYNC_MS);
      this.#timer.after(syncMs, () => {
        if (!this.#pending.delete(operation)) return;
        operation.complete();
        resume(resolve);
      });
    });
  }

  /** What may be left of a write: a beginning, perhaps with blocks that never arrived. */
  #torn(bytes: Uint8Array): Uint8Array {
    const part = Buffer.from(bytes.subarray(0, this.#random.below(bytes.byteLength + 1)));
    if (part.byteLength > 0 && this.#random.next() < 0.5) {
      part.fill(0, this.#random.below(part.byteLength));
    }
    return part;
  }

  #perhaps(action: () => void): void {
    if (this.#random.next() < 0.5) action();
  }
}

/** Offset of the last whole frame of a file; 0 if there are not two. */
function startOfLastFrame(file: Buffer): number {
  let start = 0;
  let end = 0;
  for (let frame = decodeFrame(file, 0); frame; frame = decodeFrame(file, end)) {
    start = end;
    end = frame.end;
  }
  return start;
}
