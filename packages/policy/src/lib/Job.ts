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

/** A request to be scheduled. @public */
export interface Job {
  readonly request: RequestId;
  readonly workspace: WorkspaceId;
  readonly class: string;
  /** Tier 1 is the highest. */
  readonly tier: number;
  /** Fair-queueing weight of the workspace within its tier. */
  readonly share: number;
  readonly kind: 'engine' | 'service';
  /** Model or service that the endpoint must serve. */
  readonly target: string;
  /** Expected work, in tokens of the prompt and the response. */
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Digests of the prompt's blocks, each chained with the previous one; empty without affinity. */
  readonly blocks: readonly string[];
  /** Arrival time. All times are monotonic, in milliseconds. */
  readonly arrivedAt: number;
  /** Time by which the first token is due. */
  readonly targetAt: number;
  /** End of the maximum wait. */
  readonly expiresAt: number;
  readonly idempotent: boolean;
  /** Endpoints that a retry must avoid. */
  readonly avoid: readonly EndpointId[];
  /** True for a suspect request, which must not share an endpoint with another suspect. */
  readonly isSuspect: boolean;
}

/** An endpoint that the scheduler can choose. @public */
export interface Candidate {
  readonly endpoint: EndpointId;
  readonly incarnation: IncarnationId;
  readonly dataCentre: DataCentreId;
  readonly kind: 'engine' | 'service';
  /** Models or services served. */
  readonly targets: readonly string[];
  readonly slots: number;
  /** False if the endpoint is leaving or its link is down. */
  readonly isOpen: boolean;
}

/** Result of a dispatched job. @public */
export interface JobResult {
  readonly request: RequestId;
  readonly outcome: 'completed' | 'cancelled' | 'refused' | 'failed';
  readonly answerTokens: number;
}

/** An action that the scheduler requests from its entry. @public */
export type Decision =
  | {
      readonly type: 'dispatch';
      readonly request: RequestId;
      readonly endpoint: EndpointId;
      /** True if the endpoint is full and must preempt lower-tier work or queue the request. */
      readonly isUrgent?: boolean;
    }
  | {
      readonly type: 'refuse';
      readonly request: RequestId;
      readonly code: Code;
      readonly retryAfterMs: number;
    };

/** Shedding floor of a pool, sent to other entries before an entry rejects the tier. @public */
export interface PoolFloor {
  readonly kind: 'engine' | 'service';
  readonly target: string;
  /** Requests of tiers with a greater number must be rejected first. */
  readonly tier: number;
  /** Time for which the floor holds, in milliseconds. */
  readonly ttlMs: number;
}

/** Load report of an endpoint with its time of arrival. @public */
export interface LoadReport {
  readonly endpoint: EndpointId;
  readonly load: Load;
  readonly at: number;
}

/** An attempt to be queued in a sidecar. @public */
export interface QueuedAttempt {
  readonly attempt: AttemptId;
  readonly workspace: WorkspaceId;
  readonly class: string;
  readonly tier: number;
  readonly estimatedTokens: number;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /** Fair-queueing weight of the workspace. Defaults to that of its plan in the configuration. */
  readonly share?: number;
  /** Prompt part of the estimate, in tokens. Without it the estimate is never corrected. */
  readonly promptTokens?: number;
  /** False for work that cannot be resumed, such as a call to a plain service. Default true. */
  readonly isPreemptable?: boolean;
}
