import type { Journal, Random, Timer } from '@berylwood/base';
import { ClosedAdmission, type AdmissionPolicy } from './AdmissionPolicy';
import type { Disk } from './Disk';
import type { Incarnation, ReplicaName } from './ids';
import type { StateMachine } from './StateMachine';
import type { Transport } from './Transport';

/**
 * Switches for tests. Each one disables a safety mechanism, to show which failures it prevents.
 * @internal
 */
export interface UnsafeDeviations {
  /** Start elections without asking for pre-votes first. */
  readonly skipPreVote?: boolean;
  /** Grant votes and pre-votes while a granted lease is valid. */
  readonly ignoreGrantedLease?: boolean;
  /** Lead without waiting for leases that voters may have granted before a restart. */
  readonly skipLeaseWait?: boolean;
  /** Commit entries of older terms by counting replicas. */
  readonly commitOlderTerms?: boolean;
  /** Acknowledge entries before they are synced. */
  readonly acknowledgeUnsynced?: boolean;
  /** Incarnation for an empty disk, instead of a new one. */
  readonly incarnation?: Incarnation;
  /** Check the lease against the monotonic clock only. */
  readonly ignoreWallClock?: boolean;
}

/** Options of a replica. Durations are in milliseconds, sizes in bytes. @public */
export interface ReplicaOptions {
  readonly replica: ReplicaName;
  readonly machine: StateMachine;
  readonly transport: Transport;
  readonly disk: Disk;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly random: Random;
  /** Address of this replica for the transports of its peers; stored in the membership. */
  readonly address?: string;
  /**
   * Names of the other replicas to contact when the disk is empty. The founder also admits them to
   * the new group as voters.
   */
  readonly seeds?: readonly ReplicaName[];
  /**
   * Returns the names of further replicas that a replica with an empty disk contacts, as far as the embedder
   * knows them at the moment; none by default. The seeds may be out of date or hold no replica.
   */
  readonly contacts?: () => readonly ReplicaName[];
  /**
   * Whether a replica with an empty disk founds a group once every seed has replied that it
   * belongs to none. Exactly one replica of a new group must be its founder.
   */
  readonly founder?: boolean;
  /** Decides on join requests of replicas that the membership doesn't name; rejects by default. */
  readonly admission?: AdmissionPolicy;
  /** Heartbeat interval; 100 by default. */
  readonly heartbeatMs?: number;
  /** Duration of a lease that a voter grants; 600 by default. */
  readonly leaseMs?: number;
  /** Minimum time without a leader before an election; the maximum is twice it; 700 by default. */
  readonly electionTimeoutMs?: number;
  /** Maximum relative difference between the clock rates of two replicas; 0.02 by default. */
  readonly clockRateBound?: number;
  /** Maximum number of proposals that are not applied yet; 8192 by default. */
  readonly maxProposals?: number;
  /** Maximum total size of proposals that are not applied yet; 16 MiB by default. */
  readonly maxProposalBytes?: number;
  /** Maximum size of a command; 1 MiB by default. */
  readonly maxCommandBytes?: number;
  /** Number of applied entries after which a snapshot is taken; 4096 by default. */
  readonly snapshotEntries?: number;
  /** Size of applied entries after which a snapshot is taken; 8 MiB by default. */
  readonly snapshotBytes?: number;
  /** Entries kept before a snapshot, for followers that are slightly behind; 1024 by default. */
  readonly trailingEntries?: number;
  /** Maximum size of a snapshot chunk in one message; 256 KiB by default. */
  readonly chunkBytes?: number;
  /**
   * Maximum size of the entries in one message and in one sync, except that a single entry may be
   * larger; 256 KiB by default.
   */
  readonly batchBytes?: number;
  /** Maximum number of unacknowledged messages with entries per follower; 16 by default. */
  readonly maxInflight?: number;
  /** Size at which the log starts a new segment; 4 MiB by default. */
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
  contacts: () => [],
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
