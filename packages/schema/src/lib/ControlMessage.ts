import { z } from 'zod';
import { bytesSchema, idSchema, workSchema } from './AttemptMessage';
import { configurationSchema } from './Configuration';
import { endpointActionSchema } from './Order';
import type {
  AttemptId,
  EndpointId,
  IncarnationId,
  InstanceId,
  DataCentreId,
  KeyId,
  OrderId,
  RequestId,
  WorkspaceId,
} from './ids';

const count = z.number().int().nonnegative();

/** A key as entries know it: never the secret, only its SHA-256 in hex. @public */
export const keyRecordSchema = z.object({
  key: idSchema<KeyId>(),
  hash: z.string().length(64),
  workspace: idSchema<WorkspaceId>(),
});

/** One endpoint with its sidecar, as known to the control group. @public */
export const memberSchema = z.object({
  endpoint: idSchema<EndpointId>(),
  incarnation: idSchema<IncarnationId>(),
  instance: idSchema<InstanceId>(),
  dataCentre: idSchema<DataCentreId>(),
  kind: z.enum(['engine', 'service']),
  /** Address of the sidecar. */
  address: z.string(),
  models: z.array(z.string()),
  service: z.string().optional(),
  slots: count,
  state: z.enum(['live', 'leaving']),
});

/** A fingerprint that is held back, or suspected, because endpoints crashed while it ran. @public */
export const suspicionSchema = z.object({
  fingerprint: z.string(),
  crashes: count,
  /** End of the quarantine, in wall-clock milliseconds. */
  untilMs: z.number(),
});

/** Replicated state that each entry and sidecar holds a copy of. @public */
export const feedStateSchema = z.object({
  /** Log index that the state includes. */
  index: count,
  /** Revision of the configuration; only grows. */
  revision: count,
  configuration: configurationSchema,
  keys: z.array(keyRecordSchema),
  /** Fencing number of the present leader for orders. */
  fence: count,
  suspicions: z.array(suspicionSchema),
});

/** One change of the replicated state. @public */
export const feedChangeSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('configured'),
    revision: count,
    configuration: configurationSchema,
  }),
  z.object({ type: z.literal('keyGiven'), key: keyRecordSchema }),
  z.object({ type: z.literal('keyWithdrawn'), key: idSchema<KeyId>() }),
  z.object({ type: z.literal('fenced'), fence: count }),
  z.object({ type: z.literal('suspected'), suspicion: suspicionSchema }),
]);

/** How an attempt ended, for billing. @public */
export const meterRecordSchema = z.object({
  sequence: count,
  attempt: idSchema<AttemptId>(),
  request: idSchema<RequestId>(),
  workspace: idSchema<WorkspaceId>(),
  class: z.string(),
  model: z.string(),
  work: workSchema,
  /** Wasted work is metered, but billed to nobody. */
  billable: z.boolean(),
  /** Time since the attempt ended when the batch was sent, in milliseconds; 0 when left out. */
  ageMs: count.optional(),
});

/** Usage that a sidecar, or an entry for a dead one, hands in. @public */
export const meterBatchSchema = z.object({
  endpoint: idSchema<EndpointId>(),
  incarnation: idSchema<IncarnationId>(),
  records: z.array(meterRecordSchema).max(1000),
});

/** Messages from an entry or sidecar to a control replica, or an observer. @public */
export const nodeMessageSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('hello'),
    group: z.string(),
    process: z.string(),
    incarnation: idSchema<IncarnationId>(),
    dataCentre: idSchema<DataCentreId>(),
    /** Index that the node has applied; 0 asks for a snapshot. */
    applied: count,
    /** Present when the node is a sidecar. */
    member: memberSchema.optional(),
  }),
  z.object({
    type: z.literal('renew'),
    /** Stamp of the node's own monotonic clock, echoed in the answer. */
    sentAt: z.number(),
    applied: count,
    /** Member state, when the node is a sidecar. */
    state: z.enum(['live', 'leaving']).optional(),
  }),
  /** All members whose sidecars are connected to an observer, sent whole by the observer. */
  z.object({ type: z.literal('relayed'), members: z.array(memberSchema) }),
]);

/** Calls from a node to the control group; each has an answer. @public */
export const nodeCallSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('meter'), batch: meterBatchSchema }),
  z.object({
    type: z.literal('claim'),
    workspace: idSchema<WorkspaceId>(),
    idempotencyKey: z.string().min(1).max(255),
    fingerprint: z.string(),
    request: idSchema<RequestId>(),
    attempt: idSchema<AttemptId>(),
    endpoint: idSchema<EndpointId>(),
  }),
  z.object({
    type: z.literal('settle'),
    workspace: idSchema<WorkspaceId>(),
    idempotencyKey: z.string(),
    request: idSchema<RequestId>(),
    outcome: z.enum(['ran', 'notRun', 'unknown']),
    status: z.number().int(),
    headers: z.record(z.string(), z.string()),
    body: bytesSchema,
  }),
  z.object({
    type: z.literal('suspect'),
    endpoint: idSchema<EndpointId>(),
    incarnation: idSchema<IncarnationId>(),
    fingerprints: z.array(z.string()).max(64),
    /** Names one crash of the endpoint, so that several witnesses count it once. */
    crash: z.string().max(64).optional(),
  }),
  z.object({ type: z.literal('clear'), fingerprint: z.string() }),
  /** An endpoint's answer to an order that its sidecar has passed on or refused. */
  z.object({
    type: z.literal('orderAnswer'),
    order: idSchema<OrderId>(),
    accepted: z.boolean(),
    message: z.string().max(1024),
  }),
]);

/** Outcome of a claim on a non-idempotent request. @public */
export const claimAnswerSchema = z.discriminatedUnion('type', [
  /** The claim is the caller's: exactly this attempt may be dispatched. */
  z.object({ type: z.literal('granted') }),
  /** The request has ended before; here is its stored outcome. */
  z.object({
    type: z.literal('settled'),
    outcome: z.enum(['ran', 'notRun', 'unknown']),
    status: z.number().int(),
    headers: z.record(z.string(), z.string()),
    body: bytesSchema,
  }),
  z.object({ type: z.literal('running') }),
  /** The key was used with another body. */
  z.object({ type: z.literal('conflict') }),
]);

/** Messages from a control replica, or an observer, to an entry or sidecar. @public */
export const controlMessageSchema = z.discriminatedUnion('type', [
  /** This replica does not lead; a hint names the one that may. */
  z.object({ type: z.literal('redirect'), address: z.string().optional() }),
  z.object({ type: z.literal('snapshot'), state: feedStateSchema }),
  z.object({ type: z.literal('changes'), index: count, changes: z.array(feedChangeSchema) }),
  /** Members are soft state of the leader, sent whole or as differences with a version. */
  z.object({
    type: z.literal('members'),
    whole: z.boolean(),
    changed: z.array(memberSchema),
    removed: z.array(idSchema<EndpointId>()),
  }),
  /**
   * Proof of freshness: at the time of `sentAt` on the node's clock, or later, everything committed
   * was included in `index`.
   */
  z.object({ type: z.literal('renewal'), sentAt: z.number(), index: count, fence: count }),
  /**
   * An order for the endpoint of the sidecar. The sidecar refuses one whose fencing number is
   * smaller than the greatest that it knows, and one that it has passed on before.
   */
  z.object({
    type: z.literal('order'),
    order: idSchema<OrderId>(),
    fence: count,
    action: endpointActionSchema,
  }),
]);

export type KeyRecord = z.output<typeof keyRecordSchema>;
export type Member = z.output<typeof memberSchema>;
export type Suspicion = z.output<typeof suspicionSchema>;
export type FeedState = z.output<typeof feedStateSchema>;
export type FeedChange = z.output<typeof feedChangeSchema>;
export type MeterRecord = z.output<typeof meterRecordSchema>;
export type MeterBatch = z.output<typeof meterBatchSchema>;
export type NodeMessage = z.output<typeof nodeMessageSchema>;
export type NodeCall = z.output<typeof nodeCallSchema>;
export type ClaimAnswer = z.output<typeof claimAnswerSchema>;
export type ControlMessage = z.output<typeof controlMessageSchema>;
