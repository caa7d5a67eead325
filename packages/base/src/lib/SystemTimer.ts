import { Timer } from './Timer';

/** Longest delay of a timer of Node.js, in milliseconds; a longer one would end at once. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/** Timer based on the system clocks. @public */
export class SystemTimer extends Timer {
  override now(): number {
    return performance.now();
  }

  override wall(): number {
    return Date.now();
  }

  override after(delayMs: number, callback: () => void): Disposable {
    let handle: NodeJS.Timeout;
    const arm = (leftMs: number): void => {
      handle =
        leftMs <= MAX_DELAY_MS
          ? setTimeout(callback, leftMs)
          : setTimeout(() => arm(leftMs - MAX_DELAY_MS), MAX_DELAY_MS);
    };
    arm(delayMs);
    return { [Symbol.dispose]: () => clearTimeout(handle) };
  }
}
