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

/** An API key as entries receive it: the SHA-256 of its secret in hex, never the secret. @public */
export const keyRecordSchema = z.object({
  key: idSchema<KeyId>(),
  hash: z.string().length(64),
  workspace: idSchema<WorkspaceId>(),
});

/** One endpoint with its sidecar, as registered with the control group. @public */
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

/** A fingerprint that is suspected or quarantined: endpoints crashed while it ran. @public */
export const suspicionSchema = z.object({
  fingerprint: z.string(),
  crashes: count,
  /** End of the suspicion or quarantine, in wall-clock milliseconds. */
  untilMs: z.number(),
});

/** Replicated state of which each entry and sidecar holds a copy. @public */
export const feedStateSchema = z.object({
  /** Feed index up to which the state includes all changes. */
  index: count,
  /** Revision of the configuration; never decreases. */
  revision: count,
  configuration: configurationSchema,
  keys: z.array(keyRecordSchema),
  /** Fencing number of the current leader, sent with its orders. */
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

/** Work of one ended attempt, for billing. @public */
export const meterRecordSchema = z.object({
  sequence: count,
  attempt: idSchema<AttemptId>(),
  request: idSchema<RequestId>(),
  workspace: idSchema<WorkspaceId>(),
  class: z.string(),
  model: z.string(),
  work: workSchema,
  /** False for wasted work, which is metered but not billed. */
  billable: z.boolean(),
  /** Time from the end of the attempt until the batch was sent, in milliseconds; 0 if omitted. */
  ageMs: count.optional(),
});

/** Usage records from a sidecar, or from an entry on behalf of a dead sidecar. @public */
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
    /** Feed index that the node has applied; 0 requests a snapshot. */
    applied: count,
    /** Present when the node is a sidecar. */
    member: memberSchema.optional(),
  }),
  z.object({
    type: z.literal('renew'),
    /** Time on the node's monotonic clock, echoed in the reply. */
    sentAt: z.number(),
    applied: count,
    /** Member state, when the node is a sidecar. */
    state: z.enum(['live', 'leaving']).optional(),
  }),
  /** Complete list of the members whose sidecars are connected to the sending observer. */
  z.object({ type: z.literal('relayed'), members: z.array(memberSchema) }),
]);

/** Calls from a node to the control group; each one has a reply. @public */
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
    /** Id of one crash of the endpoint, so that several reports of it count once. */
    crash: z.string().max(64).optional(),
  }),
  z.object({ type: z.literal('clear'), fingerprint: z.string() }),
  /** Reply to an order, from the endpoint or from a sidecar that rejected the order. */
  z.object({
    type: z.literal('orderAnswer'),
    order: idSchema<OrderId>(),
    accepted: z.boolean(),
    message: z.string().max(1024),
  }),
]);

/** Outcome of a claim on a non-idempotent request. @public */
export const claimAnswerSchema = z.discriminatedUnion('type', [
  /** The claim is granted: exactly this attempt may be dispatched. */
  z.object({ type: z.literal('granted') }),
  /** The request has already ended; this is its stored outcome. */
  z.object({
    type: z.literal('settled'),
    outcome: z.enum(['ran', 'notRun', 'unknown']),
    status: z.number().int(),
    headers: z.record(z.string(), z.string()),
    body: bytesSchema,
  }),
  z.object({ type: z.literal('running') }),
  /** The Idempotency-Key was used with another request body. */
  z.object({ type: z.literal('conflict') }),
]);

/** Messages from a control replica, or an observer, to an entry or sidecar. @public */
export const controlMessageSchema = z.discriminatedUnion('type', [
  /** This replica is not the leader; `address`, if given, is that of the probable leader. */
  z.object({ type: z.literal('redirect'), address: z.string().optional() }),
  z.object({ type: z.literal('snapshot'), state: feedStateSchema }),
  z.object({ type: z.literal('changes'), index: count, changes: z.array(feedChangeSchema) }),
  /** Members are soft state of the leader, sent as a complete list (`whole`) or as differences. */
  z.object({
    type: z.literal('members'),
    whole: z.boolean(),
    changed: z.array(memberSchema),
    removed: z.array(idSchema<EndpointId>()),
  }),
  /**
   * Proof of freshness: at `sentAt` on the node's clock or later, `index` included everything that
   * was committed.
   */
  z.object({ type: z.literal('renewal'), sentAt: z.number(), index: count, fence: count }),
  /**
   * An order for the endpoint of the sidecar. The sidecar rejects an order whose fencing number is
   * lower than the highest one it has received, and an order that it has already forwarded.
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
