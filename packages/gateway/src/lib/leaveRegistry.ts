import type { Journal, Timer } from '@berylwood/base';
import type { Mesh, Registry } from '@berylwood/registry';
import { gatewayEvents } from './events';

/** Longest time for which a stop waits until another replica has its vote, in milliseconds. */
const HAND_OVER_TIMEOUT_MS = 6000;

/** Largest fraction of the grace period for which a stop waits for that. */
const HAND_OVER_SHARE = 0.75;

const POLL_INTERVAL_MS = 50;

interface LeaveOptions {
  readonly registry: Registry;
  readonly mesh: Mesh;
  readonly timer: Timer;
  readonly journal: Journal;
  /** Time until the process is killed, in milliseconds. */
  readonly graceMs: number;
}

/**
 * Hands leadership and the vote of this instance's replica over before it stops, so that it is not missed if it
 * does not return. If no other replica takes it in time, or there is none, the vote is kept.
 * @internal
 */
export async function leaveRegistry(options: LeaveOptions): Promise<void> {
  const { registry, mesh, timer, journal, graceMs } = options;
  const mustWait = (): boolean =>
    registry.mustAwaitHandOver((address) => mesh.isConnected(address));
  const startedAt = timer.now();
  const endsAt = startedAt + Math.min(HAND_OVER_TIMEOUT_MS, graceMs * HAND_OVER_SHARE);
  const onFailure = (error: unknown): void =>
    journal.record(gatewayEvents.handOverFailed, { error: String(error) });
  mesh.leave();
  registry.startLeaving(onFailure);
  do {
    await timer.sleep(POLL_INTERVAL_MS);
  } while (mustWait() && timer.now() < endsAt);
  // Without time left, another leader is better than none, even if a vote is still to be moved.
  registry.transferLeadership().catch(onFailure);
  const { hasVote, members } = registry;
  const waitedMs = Math.round(timer.now() - startedAt);
  journal.record(gatewayEvents.registryLeft, { hasVote, waitedMs, members });
}
