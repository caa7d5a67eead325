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
  type RequestId,
  type WorkspaceId,
} from '@berylwood/schema';
import { ok, type Result } from 'neverthrow';
import type { Identity } from './authenticate';
import { completionSchema, type Completion } from './completionSchema';
import { endpointHeaders, holdsSecret } from './endpointHeaders';
import type { Route } from './findRoute';

/** A request that may be scheduled. @internal */
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
}

/** Header by which a caller names the class of a request. */
const CLASS_HEADER = 'x-request-class';

const BYTES_PER_TOKEN = 4;

/** Answer length assumed before anything is known about it. */
const DEFAULT_ANSWER_TOKENS = 256;

function parseCompletion(body: Buffer): Result<Completion, Failure> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch (error) {
    return fail(requestCodes.malformedRequest, `the body is not valid JSON: ${String(error)}`);
  }
  const parsed = completionSchema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  const place = issue?.path.join('.') || 'body';
  return fail(requestCodes.malformedRequest, `${place}: ${issue?.message}`);
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
}

function findTarget(plan: Plan, route: Route, body: Buffer): Result<Target, Failure> {
  if (route.type === 'service') {
    const { service, idempotent } = route.route;
    if (!plan.services.includes(service)) {
      return fail(requestCodes.notInPlan, `service "${service}" is not in the plan`);
    }
    return ok({ kind: 'service', name: service, idempotent, answerTokens: 0 });
  }
  return parseCompletion(body).andThen((completion): Result<Target, Failure> => {
    const { model, max_tokens: maxTokens = DEFAULT_ANSWER_TOKENS } = completion;
    if (!plan.models.includes(model)) {
      return fail(requestCodes.notInPlan, `model "${model}" is not in the plan`);
    }
    const answerTokens = Math.min(maxTokens, DEFAULT_ANSWER_TOKENS);
    return ok({ kind: 'engine', name: model, idempotent: true, answerTokens });
  });
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
  if (holdsSecret(url, secret) || body.includes(secret)) {
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
  return findTarget(plan, route, body).map((target) => {
    const id = createRequestId();
    const job: Job = {
      request: id,
      workspace: record.workspace,
      class: className,
      tier,
      share: plan.share,
      kind: target.kind,
      target: target.name,
      promptTokens: Math.ceil(body.length / BYTES_PER_TOKEN),
      answerTokens: target.answerTokens,
      blocks: [],
      arrivedAt: now,
      targetAt: now + requestClass.firstTokenMs,
      expiresAt: now + requestClass.maxWaitMs,
      idempotent: target.idempotent,
      avoid: [],
      isSuspect: false,
    };
    const fingerprint = createHash('sha256')
      .update(`${record.workspace} ${method} ${url} `)
      .update(body)
      .digest('hex');
    return {
      request: id,
      identity,
      job,
      method: method as Method,
      path: url,
      headers: endpointHeaders(headers, secret),
      body,
      fingerprint,
      idempotent: target.idempotent,
      model: target.kind === 'engine' ? target.name : undefined,
    };
  });
}
