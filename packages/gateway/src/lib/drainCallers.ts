import type { Timer } from '@berylwood/base';
import type { CallerServer } from './CallerServer';

/** Time within which the load balancer detects that the instance is not ready, in milliseconds. */
const BALANCER_NOTICE_MS = 2600;

/**
 * Largest fraction of the grace period for which a stopping instance still takes requests. The rest is for
 * those it has taken, however short the grace period is.
 */
const NOTICE_SHARE = 0.5;

/** Time before the end of the grace period at which open requests are cut, in milliseconds. */
const CUT_MARGIN_MS = 500;

/** Interval at which open requests are checked during a stop, in milliseconds. */
const DRAIN_POLL_MS = 100;

/** @internal */
export interface DrainOptions {
  readonly timer: Timer;
  /** Time until the process is killed, in milliseconds. */
  readonly graceMs: number;
  /** Called once the load balancer sends no more callers; new requests are rejected from then on. */
  readonly onUnlisted: () => void;
}

/** Serves open requests of an instance that stops; resolves when none is left, or shortly before the kill. */
export async function drainCallers(
  server: CallerServer,
  { timer, graceMs, onUnlisted }: DrainOptions,
): Promise<void> {
  const endsAt = timer.now() + graceMs - CUT_MARGIN_MS;
  await timer.sleep(Math.min(BALANCER_NOTICE_MS, (endsAt - timer.now()) * NOTICE_SHARE));
  onUnlisted();
  server.closeIdleConnections();
  while (server.openRequests > 0 && timer.now() < endsAt) {
    await timer.sleep(DRAIN_POLL_MS);
    server.closeIdleConnections();
  }
}
