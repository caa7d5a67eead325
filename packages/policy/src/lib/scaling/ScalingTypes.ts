import type { DataCentreId, EndpointId, Zone } from '@berylwood/schema';

/** Demand of one class for one model. @public */
export interface ClassDemand {
  readonly class: string;
  readonly tier: number;
  /** Rate of arriving requests, whether served or not. */
  readonly requestsPerSecond: number;
  /** Mean work of a request, in tokens of prompt and response. */
  readonly tokensPerRequest: number;
  /** Value of one request that is served within its targets, in units of money. */
  readonly value: number;
}

/** State of an endpoint that scaling takes into account. @public */
export interface ScaledEndpoint {
  readonly endpoint: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly state: 'starting' | 'running' | 'draining';
  /** Time at which its start was decided, in milliseconds. */
  readonly startedAt: number;
  /** Number of attempts that run or wait there. */
  readonly load: number;
}

/** Input of the scaling decisions for one model. @public */
export interface ScalingInput {
  readonly model: string;
  /** Zones in which the model may run, with their price and their bounds on endpoints. */
  readonly zones: readonly Zone[];
  readonly endpoints: readonly ScaledEndpoint[];
  readonly demands: readonly ClassDemand[];
  /** Work that one endpoint does at full load, in tokens per second. */
  readonly tokensPerSecond: number;
}

/** A scaling action to execute. @public */
export type ScalingDecision =
  | { readonly type: 'start'; readonly model: string; readonly dataCentre: DataCentreId }
  | { readonly type: 'drain'; readonly endpoint: EndpointId }
  /** The endpoint has drained: nothing runs or waits there. */
  | { readonly type: 'stop'; readonly endpoint: EndpointId }
  /** The endpoint is needed again before it has drained. */
  | { readonly type: 'resume'; readonly endpoint: EndpointId };

/** Options of a scaling policy. @public */
export interface ScalingOptions {
  /** Fraction of an endpoint's capacity to plan for; the rest absorbs bursts. Default 0.7. */
  readonly utilization?: number;
  /** Time for which more endpoints must be needed before one is started, in ms. Default 5000. */
  readonly startAfterMs?: number;
  /** Time for which fewer endpoints must suffice before one is drained, in ms. Default 180000. */
  readonly stopAfterMs?: number;
  /** Minimum running time of an endpoint, in milliseconds. Default 600000. */
  readonly minimumRunMs?: number;
  /** Time from the decision to start until the first request, in milliseconds. Default 60000. */
  readonly startUpMs?: number;
  /** Ratio of value to price above which one more endpoint is started. Default 1.2. */
  readonly startRatio?: number;
  /** Ratio of value to price at or below which an endpoint is drained. Default 0.8. */
  readonly stopRatio?: number;
}
