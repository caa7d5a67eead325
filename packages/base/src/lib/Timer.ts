/**
 * Clocks and timers of a process. Durations are measured on the monotonic clock only. Wall time is
 * used for window boundaries and for display. All values are in milliseconds.
 * @public
 */
export abstract class Timer {
  /** Monotonic time since an arbitrary origin. */
  abstract now(): number;

  /** Time since the Unix epoch; may jump. */
  abstract wall(): number;

  /** Runs the callback once after the delay, unless disposed before. */
  abstract after(delayMs: number, callback: () => void): Disposable;

  /** Runs the callback at each interval until disposed. */
  every(intervalMs: number, callback: () => void): Disposable {
    let current: Disposable;
    const arm = (): void => {
      current = this.after(intervalMs, () => {
        arm();
        callback();
      });
    };
    arm();
    return { [Symbol.dispose]: () => current[Symbol.dispose]() };
  }

  /** Resolves after the delay. */
  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(delayMs, resolve);
    });
  }
}
