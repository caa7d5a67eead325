import type { Journal, Random, Timer } from '@berylwood/base';
import { ClosedAdmission, type AdmissionPolicy } from './AdmissionPolicy';
import type { Disk } from './Disk';
import type { Incarnation, ReplicaName } from './ids';
import type { StateMachine } from './StateMachine';
import type { Transport } from './Transport';

/**
 * Switches that break one mechanism each, so that tests can show what it is good for.
 * @internal
 */
export interface UnsafeDeviations {
  /** Stand for election without asking for pre-votes first. */
  readonly skipPreVote?: boolean;
  /** Grant votes and pre-votes while a granted lease still runs. */
  readonly ignoreGrantedLease?: boolean;
  /** Lead without waiting for leases that restarted voters may have granted. */
  readonly skipLeaseWait?: boolean;
  /** Commit entries of older terms by counting their copies. */
  readonly commitOlderTerms?: boolean;
  /** Acknowledge entries before they are synced. */
  readonly acknowledgeUnsynced?: boolean;
  /** Incarnation that an empty disk takes instead of a new one. */
  readonly incarnation?: Incarnation;
  /** Trust the lease by the monotonic clock alone. */
  readonly ignoreWallClock?: boolean;
}

/** Options of a replica; durations in milliseconds, sizes in bytes. @public */
export interface ReplicaOptions {
  readonly replica: ReplicaName;
  readonly machine: StateMachine;
  readonly transport: Transport;
  readonly disk: Disk;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly random: Random;
  /** Where the transports of others reach this replica; kept in the membership. */
  readonly address?: string;
  /**
   * Names of the other replicas to ask when the disk is empty. As the founder, the replica also
   * admits them to the new group as voters.
   */
  readonly seeds?: readonly ReplicaName[];
  /**
   * Whether a replica with an empty disk founds a group once every seed has answered that it
   * belongs to none. Exactly one replica of a new group is its founder.
   */
  readonly founder?: boolean;
  /** Decides on replicas that ask to join without having been named; refuses them by default. */
  readonly admission?: AdmissionPolicy;
  /** Interval of heartbeats; 100 by default. */
  readonly heartbeatMs?: number;
  /** Length of a lease as a voter grants it; 600 by default. */
  readonly leaseMs?: number;
  /** Least silence of the leader before an election; the greatest is twice that; 700 by default. */
  readonly electionTimeoutMs?: number;
  /** Greatest relative difference between the rates of two replicas' clocks; 0.02 by default. */
  readonly clockRateBound?: number;
  /** Most proposals that wait for their commit; 8192 by default. */
  readonly maxProposals?: number;
  /** Most bytes of proposals that wait for their commit; 16 MiB by default. */
  readonly maxProposalBytes?: number;
  /** Largest command; 1 MiB by default. */
  readonly maxCommandBytes?: number;
  /** Applied entries after which a snapshot is taken; 4096 by default. */
  readonly snapshotEntries?: number;
  /** Applied bytes after which a snapshot is taken; 8 MiB by default. */
  readonly snapshotBytes?: number;
  /** Entries kept before a snapshot for followers slightly behind; 1024 by default. */
  readonly trailingEntries?: number;
  /** Largest part of a snapshot in one message; 256 KiB by default. */
  readonly chunkBytes?: number;
  /** Size of entries in one message and in one sync; 256 KiB by default. */
  readonly batchBytes?: number;
  /** Messages with entries that may be unanswered by one follower; 16 by default. */
  readonly maxInflight?: number;
  /** Size at which a new segment of the log is begun; 4 MiB by default. */
  readonly segmentBytes?: number;
  /** @internal */
  readonly unsafe?: UnsafeDeviations;
}

/** Options with the defaults filled in. @internal */
export type ReplicaSettings = Required<ReplicaOptions>;

const KIB = 1024;
const MIB = 1024 * KIB;

const DEFAULTS = {
  address: '',
  seeds: [],
  founder: false,
  admission: new ClosedAdmission(),
  heartbeatMs: 100,
  leaseMs: 600,
  electionTimeoutMs: 700,
  clockRateBound: 0.02,
  maxProposals: 8192,
  maxProposalBytes: 16 * MIB,
  maxCommandBytes: MIB,
  snapshotEntries: 4096,
  snapshotBytes: 8 * MIB,
  trailingEntries: 1024,
  chunkBytes: 256 * KIB,
  batchBytes: 256 * KIB,
  maxInflight: 16,
  segmentBytes: 4 * MIB,
  unsafe: {},
};

/** Fills in the defaults of options that are missing or undefined. @internal */
export function withDefaults(options: ReplicaOptions): ReplicaSettings {
  const defined = Object.entries(options).filter(([, value]) => value !== undefined);
  return { ...DEFAULTS, ...(Object.fromEntries(defined) as unknown as ReplicaOptions) };
}
