import type { Failure } from '@berylwood/base';
import type { Address } from '@berylwood/link';
import type { Result } from 'neverthrow';
import type { AttemptId, EndpointId, PoolName, SoftwareVersion, WorkspaceName } from './ids';
import type { RoutingConfiguration } from './RoutingConfiguration';

/** A part of a prompt; several requests may share it. @public */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Fields that a caller's request states about itself. @public */
export interface RequestMetadata {
  readonly attempt: AttemptId | undefined;
  readonly host: string;
  /** Time that the caller is willing to wait from the arrival on, in milliseconds. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  /** Parts of the prompt in order; the last one is specific to the request or its session. */
  readonly prompt: readonly PromptPart[];
  readonly promptTokens: number;
  /** Maximum number of output tokens. */
  readonly answerTokens: number;
  /** The caller's estimate of the output tokens; it can be far off. */
  readonly expectedTokens: number | undefined;
  /** Id of the event after which the caller wants the stream to resume. */
  readonly resumeAfter: string | undefined;
  /** The caller's attempt that brought the first event of the stream that the caller wants to resume. */
  readonly resumes: AttemptId | undefined;
}

/** Fields that the gateway adds to a request when it forwards it to an endpoint. @public */
export interface ForwardingMetadata {
  readonly endpoint: EndpointId;
  readonly workspace: WorkspaceName | undefined;
  /** Time after which the endpoint should stop working on the request, in milliseconds. */
  readonly deadlineMs: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly bodyBytes: number;
  /** Id of the event after which a broken stream resumes; if undefined, the caller's value holds. */
  readonly resumeAfter: string | undefined;
}

/** Load that an endpoint reports in a response. @public */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes at this moment, in percent of the usual time; missing if it is not stated. */
  readonly momentaryPercent?: number;
}

/** Conditions under which an endpoint accepts requests, as stated in a response. @public */
export interface StatedConditions {
  /** Requests per second that it accepts from all instances together; undefined without a limit. */
  readonly requestsPerS: number | undefined;
  /** Whether it is about to stop. */
  readonly isLeaving: boolean;
  /** Time for which it wants no requests from this instance, in milliseconds; undefined without a pause. */
  readonly pauseMs: number | undefined;
  /** Stated values that cannot be used, as `name: value`. */
  readonly invalid: readonly string[];
}

/** Fields that an endpoint's response states about itself. @public */
export interface ResponseMetadata {
  readonly attempt: AttemptId | undefined;
  /** Whether the endpoint states that it has not run the request and will not run it. */
  readonly isNotRun: boolean;
  /** Whether the response comes from an incarnation other than the expected one. */
  readonly isMisdirected: boolean;
  /** Whether the response bears what shows that the endpoint has made it, as far as that is required. */
  readonly isAuthentic: boolean;
  readonly load: ReportedLoad | undefined;
  readonly conditions: StatedConditions;
  /** Time for which the endpoint is still cold after a start, in milliseconds; missing if not stated. */
  readonly coldRemainingMs?: number | undefined;
  /** Time for which the endpoint keeps an idle connection open, in milliseconds. */
  readonly keepAliveMs: number | undefined;
  /** Whether the endpoint closes the connection after this response. */
  readonly closesConnection: boolean;
}

/** One entry of the list of endpoints. @public */
export interface ListedEndpoint {
  readonly id: EndpointId;
  readonly pool: PoolName;
  readonly address: Address;
  readonly dataCentre: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Missing if an instance that publishes the list does not know it. */
  readonly softwareVersion?: SoftwareVersion;
  /** Time for which the endpoint is still cold after a start, in milliseconds; missing if not stated. */
  readonly coldRemainingMs?: number | undefined;
}

/** One page of the list of endpoints, without the entries that cannot be decoded. @public */
export interface EndpointListPage {
  readonly endpoints: readonly ListedEndpoint[];
  /** Number of entries that cannot be decoded. */
  readonly unreadable: number;
  readonly nextToken: string | undefined;
}

/** Header names and values alternating, as in `IncomingMessage.rawHeaders`. @public */
export type RawHeaders = readonly string[];

/** Header names and formats that callers, endpoints and operators use on the wire. @public */
export abstract class Wire {
  abstract readRequest(headers: RawHeaders): RequestMetadata;

  /**
   * Builds the headers for an endpoint: the caller's, except for its key and those that the gateway
   * sets itself.
   */
  abstract endpointHeaders(headers: RawHeaders, handover: ForwardingMetadata): string[];

  /** Builds the headers of a health check of an endpoint. */
  abstract healthCheckHeaders(endpoint: EndpointId): string[];

  abstract readResponse(status: number, headers: RawHeaders): ResponseMetadata;

  /** Selects the headers of an endpoint's response that the caller receives. */
  abstract responseHeaders(headers: RawHeaders): string[];

  /** Decodes and validates a configuration; the failure message names the problem. */
  abstract decodeConfiguration(text: string): Result<RoutingConfiguration, Failure>;

  abstract readonly paths: {
    readonly readiness: string;
    readonly configuration: string;
    /** Prefix of the paths of evacuations, before the name of the data centre. */
    readonly evacuations: string;
  };
}

/** Client of the platform. @public */
export abstract class PlatformCalls {
  /** Reads one page of the list of endpoints. */
  abstract listEndpoints(token: string | undefined): Promise<Result<EndpointListPage, Failure>>;

  /** Reports the frozen counts of a usage window with the fence of the registry's leader. */
  abstract reportUsage(
    window: number,
    counts: Record<string, number>,
    fence: number,
  ): Promise<Result<void, Failure>>;
}
