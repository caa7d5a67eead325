import { z } from 'zod';
import {
  dataCentreSchema,
  evacuationStateSchema,
  type EvacuationOrder,
  type EvacuationState,
} from './EvacuationState';
import { operatorListenerSchema, type OperatorListener } from './OperatorListener';
import { isPackedOrigin, isStreamKey, type PackedOrigin, type StreamKey } from './StreamOrigin';
import type { WindowCounts } from './UsageLedger';

/** Periodic report of an instance to the leader. @internal */
export interface Report {
  readonly type: 'report';
  /** Address at which other instances reach the reporting one. */
  readonly instance: string;
  /** Source of the counts: the instance and its incarnation. */
  readonly source: string;
  /** Wall-clock time of the instance, in milliseconds. */
  readonly wallMs: number;
  /** Cumulative counts of windows that are not closed. */
  readonly windows: readonly (readonly [number, WindowCounts])[];
  /** Whether the instance is about to stop; missing if not, and from earlier versions. */
  readonly isLeaving?: boolean;
}

/** Asks for the receiver's configuration. @internal */
interface Fetch {
  readonly type: 'fetch';
}

/** Asks the leader to commit a configuration. @internal */
interface Configure {
  readonly type: 'configure';
  readonly version: number;
  readonly body: Uint8Array;
}

/**
 * Asks the leader to commit the start or the end of an evacuation. Earlier versions of the software drop a link
 * on which it arrives, so it is sent only to instances whose status has `evacuations`.
 */
interface Evacuate extends EvacuationOrder {
  readonly type: 'evacuate';
}

/** Asks the leader for the newest configuration, confirmed by a quorum. @internal */
interface ReadNewest {
  readonly type: 'readNewest';
  /** Version that the sender holds, whose document need not be sent; missing without one, and from earlier versions. */
  readonly held?: number;
}

/**
 * Work in flight to one endpoint: the endpoint's id, the prompt tokens not processed yet, by rank,
 * and the number of requests.
 * @public
 */
export type EndpointWork = readonly [endpoint: string, tokens: readonly number[], requests: number];

/** Work in flight from the sending instance; from the leader, that of all other instances. @internal */
export interface Work {
  readonly type: 'work';
  readonly endpoints: readonly EndpointWork[];
  /** Opaque to the mesh; missing from earlier versions. */
  readonly attachment?: unknown;
}

/** Suspicions of content, opaque to the mesh; missing if there are none, or from earlier versions. */
interface SuspicionCarrier {
  readonly suspicions?: readonly unknown[];
}

/** Sends known replica addresses to the dialled instance, which may know none. */
interface Hello extends SuspicionCarrier {
  readonly type: 'hello';
  readonly members: readonly string[];
}

/** Origins in one message. @internal */
export const MAX_RECORDED_ORIGINS = 1024;

/** Asks the receiver to store origins of streams; the reply has an `AppendOutcome` for each. */
interface RecordOrigins {
  readonly type: 'recordOrigins';
  readonly origins: readonly PackedOrigin[];
}

/** Asks for the version that began a stream; the reply is null if it is not known. */
interface FindOrigin extends StreamKey {
  readonly type: 'findOrigin';
}

/** Asks for the versions that began the streams of a pool; the reply is a list. */
interface FindVersions {
  readonly type: 'findVersions';
  readonly pool: string;
}

/**
 * Message about origins of streams. Earlier versions of the software drop a link on which it arrives,
 * so it is sent only to instances whose status has `holdsOrigins`.
 */
type OriginMessage = RecordOrigins | FindOrigin | FindVersions;

/** Message of the instance that has dialled the link. @internal */
export type DialerMessage =
  Hello | Report | Fetch | Configure | Evacuate | ReadNewest | Work | OriginMessage;

/** Value that the leader broadcasts to all instances; opaque to the mesh. */
interface Notice {
  readonly type: 'notice';
  readonly value: unknown;
}

/** Message of the instance that has accepted the link. @internal */
export type AcceptorMessage = Status | Work | Notice;

/** Status that an instance sends to all instances that have dialled it. @internal */
export interface Status extends SuspicionCarrier {
  readonly type: 'status';
  /** Version of the sender's configuration; -1 without one. */
  readonly version: number;
  /** Compressed size of that configuration in bytes; missing without one, and from earlier versions. */
  readonly bytes?: number;
  readonly isLeader: boolean;
  readonly term: number;
  /** Known addresses of the registry's replicas. */
  readonly members: readonly string[];
  /** Number of instances counted by the leader, including itself; 0 from other instances. */
  readonly instances: number;
  /** Latest closed usage window; -1 without one. */
  readonly closedWindow: number;
  /** Fleet time of the leader, in milliseconds since the Unix epoch; 0 from other instances. */
  readonly timeMs: number;
  /** Whether the sender stores origins of streams on a disk; missing from earlier versions. */
  readonly holdsOrigins?: boolean;
  /** Newest evacuations that the sender knows; missing from earlier versions. */
  readonly evacuations?: EvacuationState;
  /** Whether the sender is about to stop; missing if not, and from earlier versions. */
  readonly isLeaving?: boolean;
  /**
   * The sender's listener for operators, in the first status on a link; missing if it has none or does not know
   * the rate of its link, and from earlier versions.
   */
  readonly operators?: OperatorListener;
}

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null;

const isCount = (value: unknown): value is number => Number.isSafeInteger(value);

function isReport({ instance, source, wallMs, windows }: Record<string, unknown>): boolean {
  const areWindows = Array.isArray(windows) && windows.every((item) => Array.isArray(item));
  return (
    typeof instance === 'string' &&
    typeof source === 'string' &&
    Number.isFinite(wallMs) &&
    areWindows
  );
}

const isStringArray = (value: unknown): boolean =>
  Array.isArray(value) && value.every((item) => typeof item === 'string');

function isWork({ endpoints }: Record<string, unknown>): boolean {
  return (
    Array.isArray(endpoints) &&
    endpoints.every(
      (item) =>
        Array.isArray(item) &&
        typeof item[0] === 'string' &&
        Array.isArray(item[1]) &&
        item[1].every(Number.isFinite) &&
        Number.isFinite(item[2]),
    )
  );
}

const isEvacuations = (value: unknown): boolean =>
  value === undefined || evacuationStateSchema.safeParse(value).success;

const isOperatorListener = (value: unknown): boolean =>
  value === undefined || operatorListenerSchema.safeParse(value).success;

const areOrigins = ({ origins }: Record<string, unknown>): boolean =>
  Array.isArray(origins) && origins.length <= MAX_RECORDED_ORIGINS && origins.every(isPackedOrigin);

/** @internal */
export const dialerMessageSchema = z.custom<DialerMessage>((value) => {
  if (!isRecord(value)) return false;
  switch (value.type) {
    case 'report':
      return isReport(value);
    case 'configure':
      return isCount(value.version) && value.body instanceof Uint8Array;
    case 'evacuate':
      return (
        dataCentreSchema.safeParse(value.dataCentre).success &&
        typeof value.isEvacuated === 'boolean' &&
        isCount(value.basis)
      );
    case 'work':
      return isWork(value);
    case 'hello':
      return isStringArray(value.members);
    case 'recordOrigins':
      return areOrigins(value);
    case 'findOrigin':
      return isStreamKey(value);
    case 'findVersions':
      return typeof value.pool === 'string';
    case 'readNewest':
      return value.held === undefined || isCount(value.held);
    default:
      return value.type === 'fetch';
  }
}, 'expected a message from an instance');

/** @internal */
export const acceptorMessageSchema = z.custom<AcceptorMessage>((value) => {
  if (!isRecord(value)) return false;
  if (value.type === 'work') return isWork(value);
  if (value.type === 'notice') return true;
  if (value.type !== 'status') return false;
  const { version, isLeader, term, members, instances, closedWindow, timeMs } = value;
  return (
    [version, term, instances, closedWindow, value.bytes ?? 0].every(isCount) &&
    typeof isLeader === 'boolean' &&
    Number.isFinite(timeMs) &&
    isStringArray(members) &&
    isEvacuations(value.evacuations) &&
    isOperatorListener(value.operators)
  );
}, 'expected a status, work or notice message');
