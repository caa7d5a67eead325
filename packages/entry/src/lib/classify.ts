import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { fail, type Failure } from '@berylwood/base';
import type { Job } from '@berylwood/policy';
import {
  createRequestId,
  requestCodes,
  type Configuration,
  type Method,
  type Plan,
  type RequestClass,
  type RequestId,
  type WorkspaceId,
} from '@berylwood/schema';
import { ok, type Result } from 'neverthrow';
import type { Identity } from './authenticate';
import { completionSchema, promptOf, type Completion } from './completionSchema';
import { bodyHoldsSecret, endpointHeaders, holdsSecret } from './endpointHeaders';
import type { Route } from './findRoute';
import { isTooDeep } from './isTooDeep';
import { digestBlocks } from './digestBlocks';

/** A classified request, ready to be scheduled. @internal */
export interface Order {
  readonly request: RequestId;
  readonly identity: Identity;
  readonly job: Job;
  readonly method: Method;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: Uint8Array;
  readonly fingerprint: string;
  readonly idempotent: boolean;
  readonly model: string | undefined;
  /** Key of the claim, on routes that are not idempotent. */
  readonly idempotencyKey: string | undefined;
}

/** Header in which a caller sets the class of a request. */
const CLASS_HEADER = 'x-request-class';

/** Header that identifies a request that must not be repeated across its resends. */
const IDEMPOTENCY_HEADER = 'idempotency-key';

const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

const BYTES_PER_TOKEN = 4;

/** Response length assumed without `max_tokens`, and the upper bound of the estimate with it. */
const DEFAULT_ANSWER_TOKENS = 256;

function parseCompletion(body: Buffer): Result<Completion, Failure> {
  if (isTooDeep(body)) return fail(requestCodes.malformedRequest, 'the JSON is nested too deeply');
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch (error) {
    return fail(requestCodes.malformedRequest, `the body is not valid JSON: ${String(error)}`);
  }
  const parsed = completionSchema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  const issuePath = issue?.path.join('.') || 'body';
  return fail(requestCodes.malformedRequest, `${issuePath}: ${issue?.message}`);
}

function planOf(configuration: Configuration, workspace: WorkspaceId): Plan | undefined {
  const customer = configuration.customers[workspace];
  return customer && configuration.plans[customer.plan];
}

interface Target {
  readonly kind: 'engine' | 'service';
  readonly name: string;
  readonly idempotent: boolean;
  readonly answerTokens: number;
  /** Text of the prompt, for prefix affinity. */
  readonly prompt: string;
}

function findTarget(plan: Plan, route: Route, body: Buffer): Result<Target, Failure> {
  if (route.type === 'service') {
    const { service, idempotent } = route.route;
    if (!plan.services.includes(service)) {
      return fail(requestCodes.notInPlan, `service "${service}" is not in the plan`);
    }
    return ok({ kind: 'service', name: service, idempotent, answerTokens: 0, prompt: '' });
  }
  return parseCompletion(body).andThen((completion): Result<Target, Failure> => {
    const { model, max_tokens: maxTokens = DEFAULT_ANSWER_TOKENS } = completion;
    if (!plan.models.includes(model)) {
      return fail(requestCodes.notInPlan, `model "${model}" is not in the plan`);
    }
    const answerTokens = Math.min(maxTokens, DEFAULT_ANSWER_TOKENS);
    return ok({
      kind: 'engine',
      name: model,
      idempotent: true,
      answerTokens,
      prompt: promptOf(completion),
    });
  });
}

interface JobParameters {
  readonly workspace: WorkspaceId;
  readonly className: string;
  readonly tier: number;
  readonly share: number;
  readonly requestClass: RequestClass;
}

function createJob(parameters: JobParameters, target: Target, body: Buffer, now: number): Job {
  const { workspace, className, tier, share, requestClass } = parameters;
  return {
    request: createRequestId(),
    workspace,
    class: className,
    tier,
    share,
    kind: target.kind,
    target: target.name,
    promptTokens: Math.ceil(body.length / BYTES_PER_TOKEN),
    answerTokens: target.answerTokens,
    blocks: digestBlocks(workspace, target.prompt),
    arrivedAt: now,
    targetAt: now + requestClass.firstTokenMs,
    expiresAt: now + requestClass.maxWaitMs,
    idempotent: target.idempotent,
    avoid: [],
    isSuspect: false,
  };
}

/** Checks a request against the workspace's plan and prepares it for scheduling. @internal */
export function classify(
  configuration: Configuration,
  identity: Identity,
  route: Route,
  request: IncomingMessage,
  body: Buffer,
  now: number,
): Result<Order, Failure> {
  const { secret, record } = identity;
  const { url = '/', method = 'GET', headers } = request;
  if (holdsSecret(url, secret) || bodyHoldsSecret(body, secret)) {
    const message = 'the key may stand in the Authorization header only';
    return fail(requestCodes.malformedRequest, message);
  }
  const plan = planOf(configuration, record.workspace);
  if (!plan) return fail(requestCodes.notInPlan, 'the workspace has no plan');
  const className = String(headers[CLASS_HEADER] ?? plan.defaultClass);
  const tier = plan.classes[className];
  const requestClass = configuration.classes[className];
  if (tier === undefined || !requestClass) {
    return fail(requestCodes.notInPlan, `class "${className}" is not in the plan`);
  }
  const { workspace } = record;
  const parameters = { workspace, className, tier, share: plan.share, requestClass };
  const idempotencyKey = headers[IDEMPOTENCY_HEADER]?.toString();
  return findTarget(plan, route, body).andThen((target): Result<Order, Failure> => {
    if (!target.idempotent && !idempotencyKey) {
      return fail(requestCodes.idempotencyKeyMissing, requestCodes.idempotencyKeyMissing.meaning);
    }
    if (idempotencyKey && idempotencyKey.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
      const message = `the Idempotency-Key is longer than ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`;
      return fail(requestCodes.malformedRequest, message);
    }
    const job = createJob(parameters, target, body, now);
    const fingerprint = createHash('sha256')
      .update(`${record.workspace} ${method} ${url} `)
      .update(body)
      .digest('hex');
    return ok({
      request: job.request,
      identity,
      job,
      method: method as Method,
      path: url,
      headers: endpointHeaders(headers, secret),
      body,
      fingerprint,
      idempotent: target.idempotent,
      model: target.kind === 'engine' ? target.name : undefined,
      idempotencyKey: target.idempotent ? undefined : idempotencyKey,
    });
  });
}
