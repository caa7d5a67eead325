/**
 * Time of a scheduling decision and of a routing decision at the size of the plan: 350 endpoints
 * and 10,000 waiting requests. The last line is one JSON object, in microseconds.
 */
import { asId, Random } from '@berylwood/base';
import type { EndpointId } from '@berylwood/schema';
import { FairScheduler, Router, type Decision } from '../src';
import {
  createCandidates,
  createClass,
  createConfiguration,
  createJob,
  createLoad,
} from '../src/fixtures';

const ENDPOINTS = 350;
const SLOTS = 64;
const WAITING = 10_000;
const WORKSPACES = 290;
const TIERS = 7;
const PROMPT_BLOCKS = 32;
const DECISIONS = 20_000;
const WARM_UP = 2_000;
const TARGET_US = 20;

const random = new Random(1);
const classes = Object.fromEntries(
  Array.from({ length: TIERS }, (_, i) => [`class-${i + 1}`, createClass({ maxWaitMs: 600_000 })]),
);

function createWork(now: number) {
  const tier = 1 + random.below(TIERS);
  const workspace = random.below(WORKSPACES);
  const conversation = random.below(50);
  return createJob({
    workspace: asId(`w${workspace}`),
    class: `class-${tier}`,
    tier,
    arrivedAt: now,
    targetAt: now + random.between(500, 60_000),
    expiresAt: now + 600_000,
    promptTokens: PROMPT_BLOCKS * 64,
    blocks: Array.from({ length: PROMPT_BLOCKS }, (_, i) => `${workspace}-${conversation}-${i}`),
  });
}

function createReports(at: number) {
  return createCandidates(ENDPOINTS).map(({ endpoint }) => ({
    endpoint,
    load: createLoad({ slots: SLOTS, running: SLOTS, credits: 0, runningTier: TIERS }),
    at,
  }));
}

interface Figures {
  readonly meanUs: number;
  readonly p99Us: number;
}

function summarize(times: readonly number[]): Figures {
  const sorted = [...times].sort((a, b) => a - b);
  const round = (us: number) => Math.round(us * 100) / 100;
  const meanUs = round(times.reduce((sum, time) => sum + time, 0) / times.length);
  return { meanUs, p99Us: round(sorted[Math.floor(0.99 * sorted.length)] as number) };
}

/** Endings come one at a time; each frees a slot, and the decision fills it from the queue. */
function measureScheduling(): Figures {
  const scheduler = new FairScheduler({ seed: 1 });
  scheduler.configure(createConfiguration({ classes }));
  scheduler.setCandidates(createCandidates(ENDPOINTS, { slots: SLOTS }), 0);
  const running: string[] = [];
  const note = (decisions: readonly Decision[]) => {
    for (const { type, request } of decisions) if (type === 'dispatch') running.push(request);
  };
  for (let i = 0; i < ENDPOINTS * SLOTS; i += 1) scheduler.offer(createWork(0), 0);
  note(scheduler.decide(0));
  for (let i = 0; i < WAITING; i += 1) scheduler.offer(createWork(0), 0);
  const times: number[] = [];
  for (let i = 0; i < DECISIONS + WARM_UP; i += 1) {
    const now = 1 + i / 10;
    if (i % 2_000 === 0) for (const report of createReports(now)) scheduler.reported(report);
    const index = random.below(running.length);
    const request = running[index] as string;
    running[index] = running.at(-1) as string;
    running.pop();
    const next = createWork(now);
    const start = process.hrtime.bigint();
    scheduler.ended({ request: asId(request), outcome: 'completed', answerTokens: 100 }, now);
    scheduler.offer(next, now);
    const decisions = scheduler.decide(now);
    times.push(Number(process.hrtime.bigint() - start) / 1000);
    note(decisions);
  }
  return summarize(times.slice(WARM_UP));
}

/** One choice of an endpoint with the accounting of the send. */
function measureRouting(): Figures {
  const router = new Router({ seed: 1 });
  router.setCandidates(createCandidates(ENDPOINTS, { slots: SLOTS }), 0);
  const times: number[] = [];
  for (let i = 0; i < DECISIONS + WARM_UP; i += 1) {
    const now = i / 10;
    const job = createWork(now);
    const start = process.hrtime.bigint();
    const endpoint = router.select(job, now) as EndpointId;
    router.sent(job, endpoint, false, now);
    times.push(Number(process.hrtime.bigint() - start) / 1000);
    router.ended(job, endpoint, 'completed', now);
  }
  return summarize(times.slice(WARM_UP));
}

const scheduling = measureScheduling();
const routing = measureRouting();
const isMet = scheduling.meanUs < TARGET_US && routing.meanUs < TARGET_US;
process.stdout.write(
  `${JSON.stringify({ endpoints: ENDPOINTS, waiting: WAITING, scheduling, routing, targetUs: TARGET_US, isMet })}\n`,
);
