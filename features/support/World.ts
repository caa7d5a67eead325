import { After, World, setDefaultTimeout, setWorldConstructor } from '@cucumber/cucumber';
import { Deployment, type DeploymentPlan, type Reply } from '@berylwood/testing';

const STEP_LIMIT_MS = 60_000;

/** A request that was sent, with what its caller got. */
export interface Sent {
  readonly prompt: string;
  readonly answerTokens: number;
  readonly reply: Reply;
}

/** State of one scenario. */
export class ScenarioWorld extends World {
  #deployment: Deployment | undefined;

  key = { key: '', secret: '' };

  sent: Sent[] = [];

  status = 0;

  body = '';

  get deployment(): Deployment {
    if (!this.#deployment) throw new Error('no deployment was started');
    return this.#deployment;
  }

  async deploy(plan: DeploymentPlan): Promise<void> {
    this.#deployment = new Deployment(plan);
    await this.#deployment.start();
  }

  async close(): Promise<void> {
    await this.#deployment?.close();
  }
}

setDefaultTimeout(STEP_LIMIT_MS);
setWorldConstructor(ScenarioWorld);

After(async function closeDeployment(this: ScenarioWorld) {
  await this.close();
});
