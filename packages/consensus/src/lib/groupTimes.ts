import type { MembershipLimits } from './planMembership';

/** Times of a group, in milliseconds. @public */
export interface GroupTimes {
  readonly heartbeatMs: number;
  readonly leaseMs: number;
  readonly electionTimeoutMs: number;
  /** Interval of the checks whether a vote has to be moved. */
  readonly checkIntervalMs: number;
  /** Interval at which a replica that is about to stop tries to give leadership up. */
  readonly leaveIntervalMs: number;
  readonly limits: MembershipLimits;
}

/** Heartbeats cost processor time on every replica; an election may take two seconds. */
const HEARTBEAT_MS = 150;

/**
 * Times of a group of which another machine may be lost four seconds after the successor of a lost one has started.
 * By then the vote of the lost one must have been moved; docs/design/consensus.md lists the steps.
 * @public
 */
export const groupTimes: GroupTimes = {
  heartbeatMs: HEARTBEAT_MS,
  leaseMs: 900,
  electionTimeoutMs: 1000,
  checkIntervalMs: 200,
  leaveIntervalMs: 50,
  limits: {
    suspectAfterMs: 3 * HEARTBEAT_MS,
    confirmAfterMs: 2 * HEARTBEAT_MS,
    replaceAfterMs: 1000,
    leaderlessMs: 1650,
    returnTimeoutMs: 10_000,
    removeAfterMs: 120_000,
  },
};
