import { z } from 'zod';
import { methodSchema } from './Configuration';
import type { AttemptId, EndpointId, IncarnationId, RequestId, WorkspaceId } from './ids';

/** Validates a branded id at the border of a process. @internal */
export function idSchema<T extends string>() {
  return z
    .string()
    .min(1)
    .max(128)
    .transform((value) => value as T);
}

const attemptId = idSchema<AttemptId>();

/** Bytes of a body or an answer. @internal */
export const bytesSchema = z.custom<Uint8Array>(
  (value) => value instanceof Uint8Array,
  'expected bytes',
);

/** A positive integer that counts bytes, tokens or milliseconds. */
const count = z.number().int().nonnegative();

/** What a sidecar needs in order to run one attempt. @public */
export const dispatchSchema = z.object({
  type: z.literal('dispatch'),
  attempt: attemptId,
  request: idSchema<RequestId>(),
  workspace: idSchema<WorkspaceId>(),
  class: z.string(),
  tier: z.number().int(),
  /** Incarnation of the sidecar that the entry means; another one refuses. */
  incarnation: idSchema<IncarnationId>(),
  idempotent: z.boolean(),
  /** Time left until the request is of no more use, in milliseconds. */
  deadlineMs: z.number(),
  /** Expected work, in tokens of prompt and answer. */
  estimatedTokens: count,
  method: methodSchema,
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  body: bytesSchema,
  /** Digest of the request's content, for quarantine. */
  fingerprint: z.string(),
  model: z.string().optional(),
  /** The Idempotency-Key whose committed claim allows this attempt. */
  claim: z.string().max(255).optional(),
  /** An endpoint crashed while the same content ran: it runs apart from other suspects. */
  isSuspect: z.boolean().optional(),
  /** Part of the expected work that is the prompt, in tokens. */
  promptTokens: count.optional(),
});

/** Messages from an entry to a sidecar. @public */
export const entryMessageSchema = z.discriminatedUnion('type', [
  dispatchSchema,
  /** Asks for the answer from a byte offset, on a new connection. */
  z.object({ type: z.literal('resume'), attempt: attemptId, offset: count }),
  /** Bytes up to the offset have been received and may be forgotten. */
  z.object({ type: z.literal('ack'), attempt: attemptId, offset: count }),
  /** The caller is gone; work is stopped where it may be. */
  z.object({ type: z.literal('cancel'), attempt: attemptId }),
  /** Asks what became of an attempt, and forbids one that is not known to run later. */
  z.object({ type: z.literal('revoke'), attempt: attemptId }),
  /** The end was received; the attempt's buffers may be released. */
  z.object({ type: z.literal('release'), attempt: attemptId }),
]);

/** Figures of the work of one attempt. @public */
export const workSchema = z.object({
  inputTokens: count,
  outputTokens: count,
  cachedTokens: count,
});

/** Load of one endpoint as its sidecar knows it. @public */
export const loadSchema = z.object({
  slots: count,
  running: count,
  waiting: count,
  /** Tokens generated a second, over the last report interval. */
  tokensPerSecond: z.number(),
  /** Prompt tokens that wait for prefill. */
  prefillTokens: count,
  /** Lowest (most important) tier number with work in the local queue, or 0 when it is empty. */
  waitingTier: count,
  /** Highest (least important) tier number among the running attempts, or 0 when none runs. */
  runningTier: count,
  /** Age of the endpoint's own report, in milliseconds. */
  ageMs: z.number(),
  leaving: z.boolean(),
  /** No connection to the endpoint can be made. */
  down: z.boolean().optional(),
  /** Slot credits: attempts that the sidecar will accept now, with a generation number. */
  credits: count,
  generation: count,
});

/** A hint on the prefix cache of an engine; hints come late and with gaps. @public */
export const cacheEventSchema = z.object({
  kind: z.enum(['stored', 'evicted']),
  /** Digests of prompt blocks, each chained with the one before it. */
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
  /** The endpoint has begun to answer. */
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
    /** Tokens of the answer generated so far. */
    tokens: count,
  }),
  /** The answer is whole and has this length. */
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
    /** The endpoint crashed while the attempt was there. */
    crashed: z.boolean().optional(),
  }),
  /** Answer to `revoke`. `never`: has not run and never will. */
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
