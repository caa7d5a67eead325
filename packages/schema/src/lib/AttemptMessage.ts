import { z } from 'zod';
import { methodSchema } from './Configuration';
import type { AttemptId, EndpointId, IncarnationId, RequestId, WorkspaceId } from './ids';

/** Schema of a branded id in data received by a process. @internal */
export function idSchema<T extends string>() {
  return z
    .string()
    .min(1)
    .max(128)
    .transform((value) => value as T);
}

const attemptId = idSchema<AttemptId>();

/** Bytes of a request or response body. @internal */
export const bytesSchema = z.custom<Uint8Array>(
  (value) => value instanceof Uint8Array,
  'expected bytes',
);

/** A non-negative integer, such as a number of bytes, tokens or milliseconds. */
const count = z.number().int().nonnegative();

/** Request to a sidecar to run one attempt. @public */
export const dispatchSchema = z.object({
  type: z.literal('dispatch'),
  attempt: attemptId,
  request: idSchema<RequestId>(),
  workspace: idSchema<WorkspaceId>(),
  class: z.string(),
  tier: z.number().int(),
  /** Incarnation of the sidecar to which the entry sends; any other one rejects the attempt. */
  incarnation: idSchema<IncarnationId>(),
  idempotent: z.boolean(),
  /** Time left until the deadline of the request, in milliseconds. */
  deadlineMs: z.number(),
  /** Expected work: prompt and output tokens. */
  estimatedTokens: count,
  method: methodSchema,
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  body: bytesSchema,
  /** Digest of the request content, by which it is suspected or quarantined. */
  fingerprint: z.string(),
  model: z.string().optional(),
  /** Idempotency-Key of the committed claim that permits this attempt. */
  claim: z.string().max(255).optional(),
  /** An endpoint crashed while it ran the same content; no other suspect runs beside it. */
  isSuspect: z.boolean().optional(),
  /** Prompt tokens within `estimatedTokens`. */
  promptTokens: count.optional(),
});

/** Messages from an entry to a sidecar. @public */
export const entryMessageSchema = z.discriminatedUnion('type', [
  dispatchSchema,
  /** Requests the response from a byte offset, on a new connection. */
  z.object({ type: z.literal('resume'), attempt: attemptId, offset: count }),
  /** Bytes up to the offset have been received; the sidecar may discard them. */
  z.object({ type: z.literal('ack'), attempt: attemptId, offset: count }),
  /** The caller has disconnected; the sidecar stops the attempt where that is permitted. */
  z.object({ type: z.literal('cancel'), attempt: attemptId }),
  /** Requests the outcome of an attempt. An attempt that is unknown to the sidecar never runs. */
  z.object({ type: z.literal('revoke'), attempt: attemptId }),
  /** The `end` message was received; the buffers of the attempt may be released. */
  z.object({ type: z.literal('release'), attempt: attemptId }),
]);

/** Work of one attempt, in tokens. @public */
export const workSchema = z.object({
  inputTokens: count,
  outputTokens: count,
  cachedTokens: count,
});

/** Load of one endpoint, as reported by its sidecar. @public */
export const loadSchema = z.object({
  slots: count,
  running: count,
  waiting: count,
  /** Tokens generated per second, over the last report interval. */
  tokensPerSecond: z.number(),
  /** Prompt tokens that wait for prefill. */
  prefillTokens: count,
  /** Lowest (most important) tier number with work in the local queue, or 0 when it is empty. */
  waitingTier: count,
  /** Highest (least important) tier number among the running attempts, or 0 when none runs. */
  runningTier: count,
  /** Age of the load report received from the endpoint, in milliseconds. */
  ageMs: z.number(),
  leaving: z.boolean(),
  /** No connection to the endpoint can be made. */
  down: z.boolean().optional(),
  /** Slot credits: attempts that the sidecar will accept now, with a generation number. */
  credits: count,
  generation: count,
});

/** A hint about the prefix cache of an engine. Hints arrive late, and some are lost. @public */
export const cacheEventSchema = z.object({
  kind: z.enum(['stored', 'evicted']),
  /** Digests of prompt blocks; each digest includes the previous one. */
  blocks: z.array(z.string()),
});

/** Messages from a sidecar to an entry. @public */
export const sidecarMessageSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('hello'),
    endpoint: idSchema<EndpointId>(),
    incarnation: idSchema<IncarnationId>(),
  }),
  z.object({ type: z.literal('accepted'), attempt: attemptId }),
  z.object({
    type: z.literal('refused'),
    attempt: attemptId,
    code: z.number().int(),
    message: z.string(),
    retryAfterMs: z.number().optional(),
  }),
  /** The endpoint has begun its response. */
  z.object({
    type: z.literal('head'),
    attempt: attemptId,
    status: z.number().int(),
    headers: z.record(z.string(), z.string()),
  }),
  z.object({
    type: z.literal('data'),
    attempt: attemptId,
    offset: count,
    bytes: bytesSchema,
    /** Output tokens generated so far. */
    tokens: count,
  }),
  /** The response is complete; `offset` is its length in bytes. */
  z.object({
    type: z.literal('end'),
    attempt: attemptId,
    offset: count,
    work: workSchema,
    /** Number of the meter record, unique within the sidecar's incarnation. */
    sequence: count,
  }),
  z.object({
    type: z.literal('failed'),
    attempt: attemptId,
    code: z.number().int(),
    message: z.string(),
    notRun: z.union([z.boolean(), z.literal('unknown')]),
    work: workSchema,
    sequence: count,
    /** The endpoint crashed while it held the attempt. */
    crashed: z.boolean().optional(),
  }),
  /** Reply to `revoke`. `never`: the attempt has not run and never will. */
  z.object({
    type: z.literal('revoked'),
    attempt: attemptId,
    outcome: z.enum(['never', 'running', 'ran', 'unknown']),
  }),
  z.object({ type: z.literal('load'), load: loadSchema }),
  z.object({ type: z.literal('cache'), events: z.array(cacheEventSchema) }),
]);

export type Dispatch = z.output<typeof dispatchSchema>;
export type EntryMessage = z.output<typeof entryMessageSchema>;
export type SidecarMessage = z.output<typeof sidecarMessageSchema>;
export type Work = z.output<typeof workSchema>;
export type Load = z.output<typeof loadSchema>;
export type CacheEvent = z.output<typeof cacheEventSchema>;

/** Work of an attempt that has not begun. @public */
export const noWork: Work = { inputTokens: 0, outputTokens: 0, cachedTokens: 0 };
