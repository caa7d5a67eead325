import assert from 'node:assert/strict';
import { test } from 'node:test';
import { groupTimes } from './groupTimes';
import { JOIN_INTERVAL_MS } from './Joiner';
import { RETRY_HEARTBEATS } from './LeadershipTransfer';
import { FAST_CHECK_INTERVAL_MS } from './MembershipKeeper';
import { TICKS_PER_HEARTBEAT } from './Replica';

/** Time that a machine counts as lost after the start of its successor, in milliseconds. */
const CATCH_UP_MS = 4000;

/** A round trip with a sync of the disk on a busy machine, in milliseconds. */
const STEP_MS = 100;

/** A write of the term and vote, which syncs a file and its directory, on a busy machine. */
const VOTE_WRITE_MS = 2 * STEP_MS;

/** Time that the process of a successor may need to start, in milliseconds. */
const START_MS = 3000;

const { heartbeatMs, electionTimeoutMs, checkIntervalMs, leaveIntervalMs, limits } = groupTimes;
const { replaceAfterMs, confirmAfterMs, leaderlessMs } = limits;
const tickMs = heartbeatMs / TICKS_PER_HEARTBEAT;

/** The latest time-out, the pre-vote, the votes of the candidate and the voters, and the first entry of the term. */
const electionMs = 2 * electionTimeoutMs + tickMs + STEP_MS + 2 * VOTE_WRITE_MS + STEP_MS;

/** The silence of a follower is noticed by its leader. */
const silenceMs = replaceAfterMs + checkIntervalMs;

/** A new leader confirms what earlier ones have seen. */
const confirmationMs = Math.max(confirmAfterMs, checkIntervalMs) + FAST_CHECK_INTERVAL_MS;

/** A replica asks to join, its admission is committed, and it receives the log. */
const joinMs = JOIN_INTERVAL_MS + 2 * STEP_MS;

/** A learner is to join, becomes a voter, and the other voter becomes a learner. */
const voteMs = STEP_MS + tickMs + STEP_MS + FAST_CHECK_INTERVAL_MS + STEP_MS;

/** A successor is asked to stand, is elected, and commits the first entry of its term. */
const transferMs = leaveIntervalMs + STEP_MS + 2 * VOTE_WRITE_MS + STEP_MS;

/** Two successors are asked that are gone. */
const failedTransfersMs = 2 * (RETRY_HEARTBEATS * heartbeatMs + VOTE_WRITE_MS + tickMs);

const sums: Readonly<Record<string, number>> = {
  'a follower is lost': silenceMs + voteMs,
  'the leader is lost': electionMs + Math.max(confirmationMs, joinMs) + voteMs,
  'the disk of a follower is lost': joinMs + tickMs + 2 * STEP_MS,
  'the disk of the leader is lost': electionMs + joinMs + tickMs + 2 * STEP_MS,
  'the leader stops beside the loss of a follower':
    silenceMs + voteMs + transferMs + checkIntervalMs + voteMs,
  'the leader hands over to voters that are gone':
    failedTransfersMs + transferMs + replaceAfterMs + checkIntervalMs + 2 * voteMs,
  'a follower stops beside the loss of the leader':
    electionMs + Math.max(confirmationMs + STEP_MS, joinMs) + voteMs,
  'a member is lost and the process of its successor starts late': START_MS + joinMs + voteMs,
  'two of five voters are lost, one of them the leader':
    electionMs + Math.max(confirmationMs, joinMs) + 2 * voteMs,
};

test('a leader that is found late is replaced as soon as its successor has confirmed its silence', () => {
  assert.ok(replaceAfterMs + leaderlessMs <= electionMs + confirmationMs);
});

for (const [way, sum] of Object.entries(sums)) {
  test(`the vote is moved before the next loss may come, when ${way}`, () => {
    assert.ok(sum <= CATCH_UP_MS, `${sum} ms exceed ${CATCH_UP_MS} ms`);
  });
}
