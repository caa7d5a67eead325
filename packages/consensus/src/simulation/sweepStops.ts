import type { LossKind, StopBesideLoss } from './stopBesideLoss';

/** Ranges of a sweep over planned stops beside losses. */
export interface SweepOptions {
  readonly voters: 3 | 5;
  readonly seeds: readonly number[];
  readonly firstOffsetMs: number;
  readonly lastOffsetMs: number;
  readonly stepMs: number;
  readonly delaysMs: readonly number[];
  readonly kinds: readonly LossKind[];
  /** Time that each sync takes longer, and time until the process of a started machine runs; none by default. */
  readonly syncMs?: number;
  readonly startMs?: number;
}

/** Roles of the machine that stops and of the one that is lost. */
const ROLES: readonly Pick<StopBesideLoss, 'stopped' | 'lost'>[] = [
  { stopped: 'leader', lost: 'heir' },
  { stopped: 'leader', lost: 'follower' },
  { stopped: 'follower', lost: 'leader' },
  { stopped: 'follower', lost: 'heir' },
];

/** All points of a sweep. */
export function sweepStops(options: SweepOptions): StopBesideLoss[] {
  const { voters, seeds, firstOffsetMs, lastOffsetMs, stepMs, delaysMs, kinds } = options;
  const { syncMs, startMs } = options;
  const count = Math.floor((lastOffsetMs - firstOffsetMs) / stepMs) + 1;
  const offsets = Array.from({ length: count }, (_, at) => firstOffsetMs + at * stepMs);
  return seeds.flatMap((seed) =>
    ROLES.flatMap((roles) =>
      kinds.flatMap((kind) =>
        delaysMs.flatMap((delayMs) =>
          offsets.map((offsetMs) => ({
            voters,
            seed,
            ...roles,
            kind,
            delayMs,
            offsetMs,
            syncMs,
            startMs,
          })),
        ),
      ),
    ),
  );
}
