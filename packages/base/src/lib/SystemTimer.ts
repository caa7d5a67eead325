import { Timer } from './Timer';

/** Timer based on the system clocks. @public */
export class SystemTimer extends Timer {
  override now(): number {
    return performance.now();
  }

  override wall(): number {
    return Date.now();
  }

  override after(delayMs: number, callback: () => void): Disposable {
    const handle = setTimeout(callback, delayMs);
    return { [Symbol.dispose]: () => clearTimeout(handle) };
  }
}
