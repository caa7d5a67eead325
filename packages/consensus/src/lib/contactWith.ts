import type { Core } from './Core';
import type { Incarnation } from './ids';
import type { Leader } from './Leader';

/** What a replica knows of the contact with a member; durations in milliseconds. @public */
export interface MemberContact {
  /** Time since the latest message that the member replied to was sent by this leader; undefined if there is none. */
  readonly silenceMs: number | undefined;
  /** Time for which this leader has sent to the member; 0 if it does not. */
  readonly contactedMs: number;
  /** Time since the latest contact of this replica, or of a leader that it followed; undefined if none is known. */
  readonly knownSilenceMs: number | undefined;
}

const NO_SILENCE: MemberContact = { silenceMs: 0, contactedMs: 0, knownSilenceMs: 0 };

/** Time since a moment; undefined for one that was never. */
function since(now: number, at: number): number | undefined {
  return at === -Infinity ? undefined : now - at;
}

/** Returns what a replica knows of the contact with a member. @internal */
export function contactWith(
  core: Core,
  leader: Leader | undefined,
  incarnation: Incarnation,
): MemberContact {
  if (core.isSelf({ incarnation })) return NO_SILENCE;
  const { now, contacts } = core;
  const progress = leader?.progress(incarnation);
  return {
    silenceMs: since(now, progress?.stamp.mono ?? -Infinity),
    contactedMs: progress ? now - progress.startedAt : 0,
    knownSilenceMs: since(now, contacts.lastAt(incarnation)),
  };
}
