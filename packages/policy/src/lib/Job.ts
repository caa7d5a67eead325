import type {
  AttemptId,
  DataCentreId,
  EndpointId,
  IncarnationId,
  Load,
  RequestId,
  WorkspaceId,
} from '@berylwood/schema';
import type { Code } from '@berylwood/base';

/** A request as the scheduler sees it. @public */
export interface Job {
  readonly request: RequestId;
  readonly workspace: WorkspaceId;
  readonly class: string;
  /** Tier 1 is the highest. */
  readonly tier: number;
  /** Weight of the workspace among those of its tier. */
  readonly share: number;
  readonly kind: 'engine' | 'service';
  /** Model or service that the endpoint must serve. */
  readonly target: string;
  /** Expected work, in tokens of prompt and answer. */
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Digests of the prompt's blocks, each chained with the one before; empty without affinity. */
  readonly blocks: readonly string[];
  /** Monotonic times, in milliseconds. */
  readonly arrivedAt: number;
  /** Time by which the first token is due. */
  readonly targetAt: number;
  /** Time after which the request must not wait any longer. */
  readonly expiresAt: number;
  readonly idempotent: boolean;
  /** Endpoints that a retry must avoid. */
  readonly avoid: readonly EndpointId[];
  /** A suspect runs apart from other suspects. */
  readonly isSuspect: boolean;
}

/** An endpoint as the scheduler sees it. @public */
export interface Candidate {
  readonly endpoint: EndpointId;
  readonly incarnation: IncarnationId;
  readonly dataCentre: DataCentreId;
  readonly kind: 'engine' | 'service';
  /** Models or services served. */
  readonly targets: readonly string[];
  readonly slots: number;
  /** False when it is leaving or its link is down. */
  readonly isOpen: boolean;
}

/** How a dispatched job has ended. @public */
export interface JobResult {
  readonly request: RequestId;
  readonly outcome: 'completed' | 'cancelled' | 'refused' | 'failed';
  readonly answerTokens: number;
}

/** What the scheduler wants done. @public */
export type Decision =
  | {
      readonly type: 'dispatch';
      readonly request: RequestId;
      readonly endpoint: EndpointId;
      /** True when it goes to a full endpoint, which is to preempt lower work or to queue it. */
      readonly isUrgent?: boolean;
    }
  | {
      readonly type: 'refuse';
      readonly request: RequestId;
      readonly code: Code;
      readonly retryAfterMs: number;
    };

/** An entry's notice to the others that it is about to refuse a tier of a pool. @public */
export interface PoolFloor {
  readonly kind: 'engine' | 'service';
  readonly target: string;
  /** Requests of tiers with a greater number are to be refused first. */
  readonly tier: number;
  /** Time for which it holds, in milliseconds. */
  readonly ttlMs: number;
}

/** A report on an endpoint's load, with the time of its arrival. @public */
export interface LoadReport {
  readonly endpoint: EndpointId;
  readonly load: Load;
  readonly at: number;
}

/** A running attempt, as a sidecar's queue sees it. @public */
export interface QueuedAttempt {
  readonly attempt: AttemptId;
  readonly workspace: WorkspaceId;
  readonly class: string;
  readonly tier: number;
  readonly estimatedTokens: number;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /** Weight of the workspace; by default that of its plan in the configuration. */
  readonly share?: number;
  /** Part of the estimate that is the prompt, in tokens; lets the estimate be corrected. */
  readonly promptTokens?: number;
  /** False for work that can not be resumed, such as a call of a plain service. Default true. */
  readonly isPreemptable?: boolean;
}
