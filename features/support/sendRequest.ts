import { callCompletion } from '@berylwood/testing';
import type { ScenarioWorld, Sent, WorkspaceKey } from './World';

export const MODEL = 'crew-8b';

/** Longest time that a caller of a scenario waits for the end of an answer, in milliseconds. */
const CALLER_LIMIT_MS = 45_000;

/** What is sent, and through which entry. */
export interface RequestPlan {
  readonly entry: number;
  readonly key: WorkspaceKey;
  readonly prompt: string;
  readonly answerTokens: number;
  readonly stream: boolean;
  readonly class?: string;
}

/** Sends one request and resolves to what came of it; it never rejects. */
export async function sendRequest(world: ScenarioWorld, plan: RequestPlan): Promise<Sent> {
  const { workspace, secret } = plan.key;
  const { prompt, answerTokens } = plan;
  const sent = { workspace, prompt, answerTokens, sentAt: Date.now() };
  try {
    const reply = await callCompletion({
      ...plan,
      url: world.deployment.entryUrl(plan.entry),
      secret,
      model: MODEL,
      signal: AbortSignal.timeout(CALLER_LIMIT_MS),
    });
    return { ...sent, reply, fault: undefined };
  } catch (error) {
    return { ...sent, reply: undefined, fault: String(error) };
  }
}
