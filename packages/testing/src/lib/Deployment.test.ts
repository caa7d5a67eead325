import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { callCompletion } from './callCompletion';
import { Deployment } from './Deployment';

const PLANS = `
[classes.chat]
first_token_ms = 1400
[plans.standard]
classes = { chat = 1 }
default_class = "chat"
models = ["crew-8b"]
`;

async function startDeployment(context: TestContext): Promise<Deployment> {
  const deployment = new Deployment({
    entries: 1,
    controls: 1,
    dataCentres: ['naas'],
    endpoints: [{ name: 'engine-1', kind: 'engine', dataCentre: 'naas', models: ['crew-8b'] }],
    plans: PLANS,
    customers: '[customers.patan-grease]\nplan = "standard"\n',
  });
  context.after(() => deployment.close());
  await deployment.start();
  return deployment;
}

test('a stream that the crash of its engine cuts ends with a stated error', async (context) => {
  const deployment = await startDeployment(context);
  const { secret } = await deployment.giveKey('patan-grease');
  const url = deployment.entryUrl(1);
  const call = { url, secret, model: 'crew-8b', prompt: 'x', stream: true, answerTokens: 400 };
  const reply = callCompletion(call);
  setTimeout(() => {
    deployment.process('engine-1').kill().catch(assert.fail);
  }, 2000);
  const { status, isWhole, error } = await reply;
  assert.equal(status, 200);
  assert.equal(isWhole, false);
  assert.equal(error?.not_run, false);
});
