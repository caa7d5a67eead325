/**
 * Measures one entry process with real processes at 75 new requests and 35,000 streamed tokens a
 * second: processor time of entry and sidecars, and the memory of an entry with 10,000 open idle
 * streams. The last line is one JSON object.
 */
import {
  Deployment,
  processorSeconds,
  residentMegabytes,
  until,
  type DeploymentPlan,
} from '@berylwood/testing';
import { CallerPool } from './CallerPool';

const REQUESTS_PER_S = 75;
const TOKENS_PER_S = 35_000;
const STREAMS = 2000;
const ENGINES = 4;
const IDLE_STREAMS = 10_000;

/** Tokens per second of an idle stream: less than one per keep-alive interval. */
const IDLE_RATE = 0.7;
const RAMP_MS = 8000;
const MEASURED_MS = 10_000;
const TICK_MS = 20;
const RATE = TOKENS_PER_S / STREAMS;
const ANSWER_TOKENS = Math.round((STREAMS / REQUESTS_PER_S) * RATE);

const PLANS = `
[classes.chat]
first_token_ms = 1400
[plans.standard]
classes = { chat = 1 }
default_class = "chat"
models = ["crew-8b"]
`;

const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

function createPlan(engines: number, slots: number, decodeRate: number): DeploymentPlan {
  return {
    entries: 1,
    controls: 1,
    dataCentres: ['naas'],
    endpoints: Array.from({ length: engines }, (_, index) => ({
      name: `engine-${index + 1}`,
      kind: 'engine' as const,
      dataCentre: 'naas',
      models: ['crew-8b'],
      slots,
      decodeRate,
    })),
    plans: PLANS,
    customers: '[customers.thapathali-traps]\nplan = "standard"\n',
  };
}

async function withDeployment<T>(
  plan: DeploymentPlan,
  measure: (deployment: Deployment, callers: CallerPool) => Promise<T>,
): Promise<T> {
  const deployment = new Deployment(plan);
  try {
    await deployment.start();
    const { secret } = await deployment.giveKey('thapathali-traps');
    const callers = new CallerPool(new URL(deployment.entryUrl(1)).host, secret);
    const result = await measure(deployment, callers);
    callers.close();
    return result;
  } finally {
    await deployment.close();
  }
}

/** Opens streams evenly over `overMs`; `lengthOf` gives the length of each in tokens. */
async function openOver(
  callers: CallerPool,
  count: number,
  overMs: number,
  lengthOf: (index: number) => number,
): Promise<void> {
  const startedAt = performance.now();
  for (let opened = 0; opened < count;) {
    const due = Math.min(count, Math.ceil(((performance.now() - startedAt) / overMs) * count));
    for (; opened < due; opened += 1) {
      callers.call(`request ${opened} of ${overMs}`, Math.ceil(lengthOf(opened)));
    }
    await wait(TICK_MS);
  }
}

/** Length of a ramp stream, such that the streams end evenly over one lifetime after the ramp. */
function rampLength(index: number): number {
  const remainingRampTokens = RATE * (RAMP_MS / 1000) * (1 - index / STREAMS);
  return remainingRampTokens + (ANSWER_TOKENS * ((index * 7919) % STREAMS)) / STREAMS;
}

const steady = await withDeployment(
  createPlan(ENGINES, STREAMS / ENGINES + 100, RATE),
  async (deployment, callers) => {
    await openOver(callers, STREAMS, RAMP_MS, rampLength);
    const names = ['entry-1', 'sidecar-engine-1'];
    const pids = names.map((name) => deployment.process(name).pid ?? 0);
    const before = pids.map(processorSeconds);
    const { tokens } = callers.count;
    const startedAt = performance.now();
    const arrivals = (REQUESTS_PER_S * MEASURED_MS) / 1000;
    await openOver(callers, arrivals, MEASURED_MS, () => ANSWER_TOKENS);
    const seconds = (performance.now() - startedAt) / 1000;
    const cores = pids.map(
      (pid, index) => (processorSeconds(pid) - (before[index] ?? 0)) / seconds,
    );
    return {
      tokensPerSecond: Math.round((callers.count.tokens - tokens) / seconds),
      openStreams: callers.open,
      failed: callers.count.failed,
      entryCore: Number(cores[0]?.toFixed(3)),
      sidecarCore: Number(cores[1]?.toFixed(3)),
      entryMb: residentMegabytes(pids[0] ?? 0),
    };
  },
);
process.stdout.write(`${JSON.stringify(steady)}\n`);

const idle = await withDeployment(
  createPlan(ENGINES, IDLE_STREAMS / ENGINES + 100, IDLE_RATE),
  async (deployment, callers) => {
    const pid = deployment.process('entry-1').pid ?? 0;
    for (let index = 0; index < IDLE_STREAMS; index += 1) {
      callers.call(`idle ${index}`, 100);
      if (index % 50 === 0) await wait(TICK_MS);
    }
    await until('the streams are open', () => callers.count.opened >= IDLE_STREAMS * 0.99, 60_000);
    const { opened, failed } = callers.count;
    const sidecar = deployment.process('sidecar-engine-1').pid ?? 0;
    return {
      opened,
      failed,
      entryMb: residentMegabytes(pid),
      sidecarMb: residentMegabytes(sidecar),
    };
  },
);
process.stdout.write(`${JSON.stringify({ steady, idle })}\n`);
