import type { TestContext } from 'node:test';
import {
  Deployment,
  callCompletion,
  expectedAnswer,
  type DeploymentPlan,
  type EndpointPlan,
  type Reply,
} from '@berylwood/testing';

const PLANS = `
[classes.chat]
first_token_ms = 1400
max_wait_ms = 20_000
[plans.standard]
classes = { chat = 1 }
default_class = "chat"
models = ["crew-8b"]
services = ["dispatch"]
[[routes]]
path = "/orders"
service = "dispatch"
methods = ["POST"]
idempotent = false
`;

const CUSTOMERS = `
[customers.thapathali-traps]
plan = "standard"
[customers.patan-grease]
plan = "standard"
`;

/** Timeout of a test with real processes, so that a test that hangs fails. */
export const TEST_TIMEOUT = { timeout: 90_000 };

const WORKSPACE = 'thapathali-traps';

export interface ProcessFixture {
  readonly deployment: Deployment;
  readonly secret: string;
  readonly key: string;
}

export function createEngines(count: number, options: Partial<EndpointPlan> = {}): EndpointPlan[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `engine-${index + 1}`,
    kind: 'engine' as const,
    dataCentre: 'naas',
    models: ['crew-8b'],
    decodeRate: 40,
    ...options,
  }));
}

export function createService(name: string): EndpointPlan {
  return { name, kind: 'service', dataCentre: 'naas', service: 'dispatch' };
}

/** Starts a deployment of real processes with a key for a workspace, and closes it after the test. */
export async function createDeployment(
  t: TestContext,
  plan: Partial<DeploymentPlan>,
): Promise<ProcessFixture> {
  const deployment = new Deployment({
    entries: 1,
    controls: 1,
    dataCentres: ['naas'],
    endpoints: createEngines(1),
    plans: PLANS,
    customers: CUSTOMERS,
    ...plan,
  });
  t.after(() => deployment.close());
  await deployment.start();
  return { deployment, ...(await deployment.giveKey(WORKSPACE)) };
}

/** Streams a completion through an entry. */
export function stream(
  { deployment, secret }: ProcessFixture,
  prompt: string,
  answerTokens: number,
  entry = 1,
): Promise<Reply> {
  const url = deployment.entryUrl(entry);
  return callCompletion({ url, secret, model: 'crew-8b', prompt, stream: true, answerTokens });
}

/** Expected text of a complete response. */
export function completeText(prompt: string, answerTokens: number): string {
  return expectedAnswer(`user: ${prompt}`, answerTokens);
}

export interface OrderReply {
  readonly status: number;
  readonly replayed: boolean;
  readonly body: { readonly runs?: number; readonly error?: { type: string; not_run: unknown } };
}

/** Calls the service whose route is not idempotent. */
export async function placeOrder(
  { deployment, secret }: ProcessFixture,
  idempotencyKey: string | undefined,
  body: string,
  entry = 1,
): Promise<OrderReply> {
  const answer = await fetch(`${deployment.entryUrl(entry)}/orders`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${secret}`,
      ...(idempotencyKey && { 'idempotency-key': idempotencyKey }),
    },
    body,
  });
  const replayed = answer.headers.get('idempotency-replayed') === 'true';
  return { status: answer.status, replayed, body: (await answer.json()) as OrderReply['body'] };
}

/** Number of records of a kind in an endpoint's history. */
export async function countRecords(
  { deployment }: ProcessFixture,
  endpoint: string,
  kind: string,
): Promise<number> {
  const records = await deployment.history(endpoint);
  return records.filter((record) => record.kind === kind).length;
}
