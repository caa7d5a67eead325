import type { Failure } from '@berylwood/base';
import type { Result } from 'neverthrow';
import type { AttemptId, EndpointId, PoolName, WorkspaceName } from './ids';
import type { RoutingConfiguration } from './RoutingConfiguration';

/** A part of a prompt that several requests may share. @public */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request says of itself. @public */
export interface RequestMetadata {
  readonly attempt: AttemptId | undefined;
  readonly host: string;
  /** Time that the caller still waits, counted from the arrival, in milliseconds. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  /** Parts of the prompt in order; the last one belongs to the request or its session alone. */
  readonly prompt: readonly PromptPart[];
  readonly promptTokens: number;
  /** Most tokens that the answer may have. */
  readonly answerTokens: number;
  /** The caller's estimate of the answer's tokens; off by far at times. */
  readonly expectedTokens: number | undefined;
  /** Event after which the caller wants a stream to go on. */
  readonly resumeAfter: string | undefined;
}

/** What this system adds to a request that it hands to an endpoint. @public */
export interface ForwardingMetadata {
  readonly endpoint: EndpointId;
  readonly workspace: WorkspaceName | undefined;
  /** Time until the endpoint should give up, in milliseconds. */
  readonly deadlineMs: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly bodyBytes: number;
  /** Event after which a broken stream goes on; the caller's own if undefined. */
  readonly resumeAfter: string | undefined;
}

/** Load as an endpoint states it with an answer. @public */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What an endpoint's answer says of itself. @public */
export interface ResponseMetadata {
  readonly attempt: AttemptId | undefined;
  /** Whether the endpoint states that it has not run the request and won't. */
  readonly isNotRun: boolean;
  /** Whether another incarnation than the expected one has answered. */
  readonly isMisdirected: boolean;
  readonly load: ReportedLoad | undefined;
  /** Time for which the endpoint keeps the connection open, in milliseconds. */
  readonly keepAliveMs: number | undefined;
  /** Whether the endpoint closes the connection after this answer. */
  readonly closesConnection: boolean;
}

/** One endpoint as the list of endpoints names it. @public */
export interface ListedEndpoint {
  readonly id: EndpointId;
  readonly pool: PoolName;
  /** `IP:PORT`. */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly isDraining: boolean;
}

/** One page of the list; entries that can't be read are left out and counted. @public */
export interface EndpointListPage {
  readonly endpoints: readonly ListedEndpoint[];
  readonly unreadable: number;
  readonly nextToken: string | undefined;
}

/** Header names and values in turn, as `IncomingMessage.rawHeaders`. @public */
export type RawHeaders = readonly string[];

/** Names and formats of what callers, endpoints and operators send. @public */
export abstract class Wire {
  abstract readRequest(headers: RawHeaders): RequestMetadata;

  /** Headers for an endpoint: the caller's, but for its key and those that the system sets. */
  abstract endpointHeaders(headers: RawHeaders, handover: ForwardingMetadata): string[];

  abstract readResponse(status: number, headers: RawHeaders): ResponseMetadata;

  /** Headers for the caller out of those of an endpoint. */
  abstract responseHeaders(headers: RawHeaders): string[];

  /** Decodes and checks a configuration; the failure says what is wrong with it. */
  abstract decodeConfiguration(text: string): Result<RoutingConfiguration, Failure>;

  abstract readonly paths: { readonly readiness: string; readonly configuration: string };
}

/** Calls to the platform. @public */
export abstract class PlatformCalls {
  /** Reads one page of the list of endpoints. */
  abstract listEndpoints(token: string | undefined): Promise<Result<EndpointListPage, Failure>>;

  /** Reports the frozen counts of a usage window under the fence of the registry's leader. */
  abstract reportUsage(
    window: number,
    counts: Record<string, number>,
    fence: number,
  ): Promise<Result<void, Failure>>;
}
