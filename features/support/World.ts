import { After, World, setDefaultTimeout, setWorldConstructor } from '@cucumber/cucumber';
import { Deployment, type DeploymentPlan, type Reply } from '@berylwood/testing';

const STEP_LIMIT_MS = 60_000;

/** A key of a workspace. */
export interface WorkspaceKey {
  readonly workspace: string;
  readonly key: string;
  readonly secret: string;
}

/** A request that was sent, with what its caller got or the error that it met. */
export interface Sent {
  readonly workspace: string;
  readonly prompt: string;
  readonly answerTokens: number;
  readonly sentAt: number;
  readonly reply: Reply | undefined;
  readonly fault: string | undefined;
}

/** State of one scenario. */
export class ScenarioWorld extends World {
  #deployment: Deployment | undefined;

  keys: WorkspaceKey[] = [];

  /** Requests under way. */
  pending: Promise<Sent>[] = [];

  /** Ends the flow of requests, if one runs. */
  endFlow: () => void = () => {};

  status = 0;

  body = '';

  stoppedAt = 0;

  get deployment(): Deployment {
    if (!this.#deployment) throw new Error('no deployment was started');
    return this.#deployment;
  }

  get key(): WorkspaceKey {
    const [key] = this.keys;
    if (!key) throw new Error('no key was given');
    return key;
  }

  async deploy(plan: DeploymentPlan): Promise<void> {
    this.#deployment = new Deployment(plan);
    await this.#deployment.start();
  }

  async close(): Promise<void> {
    this.endFlow();
    await this.#deployment?.close();
    await Promise.allSettled(this.pending);
  }
}

setDefaultTimeout(STEP_LIMIT_MS);
setWorldConstructor(ScenarioWorld);

After(async function closeDeployment(this: ScenarioWorld) {
  await this.close();
});
