import { asId } from '@berylwood/base';
import {
  emptyConfiguration,
  requestClassSchema,
  type Configuration,
  type Load,
  type RequestClass,
} from '@berylwood/schema';
import type { Candidate, Job, QueuedAttempt } from './Job';

/** Fixtures of the tests of this package. @internal */
let sequence = 0;

export function createJob(fields: Partial<Job> = {}): Job {
  sequence += 1;
  const arrivedAt = fields.arrivedAt ?? 0;
  return {
    request: asId(`req-${sequence}`),
    workspace: asId('alpha'),
    class: 'chat',
    tier: 2,
    share: 1,
    kind: 'engine',
    target: 'model',
    promptTokens: 100,
    answerTokens: 100,
    blocks: [],
    arrivedAt,
    targetAt: arrivedAt + 2_000,
    expiresAt: arrivedAt + 60_000,
    idempotent: true,
    avoid: [],
    isSuspect: false,
    ...fields,
  };
}

export function createCandidate(fields: Partial<Candidate> = {}): Candidate {
  return {
    endpoint: asId('e1'),
    incarnation: asId('inc-1'),
    dataCentre: asId('dc1'),
    kind: 'engine',
    targets: ['model'],
    slots: 2,
    isOpen: true,
    ...fields,
  };
}

export function createCandidates(count: number, fields: Partial<Candidate> = {}): Candidate[] {
  return Array.from({ length: count }, (_, i) =>
    createCandidate({ endpoint: asId(`e${i + 1}`), ...fields }),
  );
}

export function createLoad(fields: Partial<Load> = {}): Load {
  return {
    slots: 2,
    running: 0,
    waiting: 0,
    tokensPerSecond: 0,
    prefillTokens: 0,
    waitingTier: 0,
    runningTier: 0,
    ageMs: 0,
    leaving: false,
    credits: 2,
    generation: 1,
    ...fields,
  };
}

export function createAttempt(fields: Partial<QueuedAttempt> = {}): QueuedAttempt {
  sequence += 1;
  return {
    attempt: asId(`att-${sequence}`),
    workspace: asId('alpha'),
    class: 'chat',
    tier: 2,
    estimatedTokens: 200,
    arrivedAt: 0,
    deadlineAt: 60_000,
    ...fields,
  };
}

export function createClass(fields: Partial<RequestClass> = {}): RequestClass {
  return { ...requestClassSchema.parse({ firstTokenMs: 1_000 }), ...fields };
}

export function createConfiguration(fields: Partial<Configuration> = {}): Configuration {
  return { ...emptyConfiguration, classes: { chat: createClass() }, ...fields };
}
