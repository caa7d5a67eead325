import type { DataCentreId, EndpointId, Zone } from '@berylwood/schema';

/** Demand of one class for one model. @public */
export interface ClassDemand {
  readonly class: string;
  readonly tier: number;
  /** Requests offered a second, served or not. */
  readonly requestsPerSecond: number;
  /** Mean work of a request, in tokens of prompt and answer. */
  readonly tokensPerRequest: number;
  /** Worth of one request answered within its targets, in units of money. */
  readonly value: number;
}

/** An endpoint as scaling sees it. @public */
export interface ScaledEndpoint {
  readonly endpoint: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly state: 'starting' | 'running' | 'draining';
  /** Time at which it was ordered to start, in milliseconds. */
  readonly startedAt: number;
  /** Attempts that run or wait there. */
  readonly load: number;
}

/** What scaling of one model is decided from. @public */
export interface ScalingInput {
  readonly model: string;
  /** Zones in which the model may run, with their price and bounds. */
  readonly zones: readonly Zone[];
  readonly endpoints: readonly ScaledEndpoint[];
  readonly demands: readonly ClassDemand[];
  /** Work that one endpoint does a second at full load, in tokens. */
  readonly tokensPerSecond: number;
}

/** What scaling wants done. @public */
export type ScalingDecision =
  | { readonly type: 'start'; readonly model: string; readonly dataCentre: DataCentreId }
  | { readonly type: 'drain'; readonly endpoint: EndpointId }
  /** It has drained: nothing runs or waits there. */
  | { readonly type: 'stop'; readonly endpoint: EndpointId }
  /** It is needed again before it has drained. */
  | { readonly type: 'resume'; readonly endpoint: EndpointId };

/** Options of a scaling policy. @public */
export interface ScalingOptions {
  /** Part of an endpoint's capacity that is planned for; the rest takes up bursts. Default 0.7. */
  readonly utilization?: number;
  /** Time for which more must be worth its price before it is started, in ms. Default 5000. */
  readonly startAfterMs?: number;
  /** Time for which less must do before something is stopped, in ms. Default 180000. */
  readonly stopAfterMs?: number;
  /** Shortest time that an endpoint runs, in milliseconds. Default 600000. */
  readonly minimumRunMs?: number;
  /** Time from the order to the first request, in milliseconds. Default 60000. */
  readonly startUpMs?: number;
  /** Worth over price at which one more endpoint is started. Default 1.2. */
  readonly startRatio?: number;
  /** Worth over price at which one is stopped. Default 0.8. */
  readonly stopRatio?: number;
}
