/**
 * Measures the thin path with real processes: start to first answer, resident memory of each role,
 * and the latency that entry and sidecar add to calling the stand-in directly in the same run.
 */
import { Deployment, callCompletion, percentile, residentMegabytes } from '../src';
import { CUSTOMERS, PLANS } from './lists';

const CALLS = 300;
const ENGINE_PORT = 24_000;

async function sample(url: string, secret: string): Promise<number> {
  const call = { url, secret, model: 'crew-8b', prompt: 'x', stream: true, answerTokens: 1 };
  return (await callCompletion(call)).durationMs;
}

const deployment = new Deployment({
  entries: 1,
  controls: 1,
  dataCentres: ['naas'],
  endpoints: [
    { name: 'engine-1', kind: 'engine', dataCentre: 'naas', models: ['crew-8b'], decodeRate: 1000 },
  ],
  plans: PLANS,
  customers: CUSTOMERS,
  extra: { process: '\n' },
});
try {
  const startedAt = performance.now();
  await deployment.start();
  const { secret } = await deployment.giveKey('thapathali-traps');
  await sample(deployment.entryUrl(1), secret);
  const firstAnswerMs = performance.now() - startedAt;
  const direct: number[] = [];
  const routed: number[] = [];
  for (let call = 0; call < CALLS; call += 1) {
    direct.push(await sample(`http://${deployment.host}:${ENGINE_PORT}`, secret));
    routed.push(await sample(deployment.entryUrl(1), secret));
  }
  const memory = [...deployment.processes].map(([name, { pid = 0 }]) => [
    name,
    residentMegabytes(pid),
  ]);
  const report = {
    firstAnswerMs: Math.round(firstAnswerMs),
    calls: CALLS,
    directMs: { p50: percentile(direct, 0.5), p99: percentile(direct, 0.99) },
    routedMs: { p50: percentile(routed, 0.5), p99: percentile(routed, 0.99) },
    residentMb: Object.fromEntries(memory) as Record<string, number>,
  };
  process.stdout.write(`${JSON.stringify(report)}\n`);
} finally {
  await deployment.close();
}
