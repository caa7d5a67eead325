/**
 * Policies for scheduling, routing, limits and scaling. They are pure: time and randomness are
 * arguments, and nothing here performs I/O.
 */
export type {
  Candidate,
  Decision,
  JobResult,
  Job,
  LoadReport,
  PoolFloor,
  QueuedAttempt,
} from './lib/Job';
export { Scheduler } from './lib/Scheduler';
export { RoundRobinScheduler } from './lib/RoundRobinScheduler';
export { LeastLoadScheduler } from './lib/LeastLoadScheduler';
export { FairScheduler, type FairSchedulerOptions } from './lib/FairScheduler';
export { Router, type RouterOptions } from './lib/routing/Router';
export {
  LocalQueue,
  type LocalDecision,
  type LocalQueueOptions,
  type QueueLoad,
} from './lib/local/LocalQueue';
export { FairLocalQueue } from './lib/local/FairLocalQueue';
export { FifoLocalQueue } from './lib/local/FifoLocalQueue';
export { OutlierDetector, type OutlierOptions } from './lib/health/OutlierDetector';
export { CircuitBreaker, type BreakerOptions } from './lib/health/CircuitBreaker';
export {
  ContentQuarantine,
  type ContentQuarantineOptions,
  type ContentState,
  type SentContent,
  type Suspicion,
  type SuspicionChange,
} from './lib/health/ContentQuarantine';
export { Quarantine, type QuarantineOptions, type QuarantineState } from './lib/health/Quarantine';
export {
  GRANT_TERM_MS,
  type LimitGrant,
  type LimitGrants,
  type LimitUse,
} from './lib/limits/LimitGrant';
export { EndpointPermits, type PermitConditions } from './lib/limits/EndpointPermits';
export { PermitAllocator, type PermitDemand } from './lib/limits/PermitAllocator';
export { StatedLimit, type LimitStatement } from './lib/limits/StatedLimit';
export { WorkspaceLimiter } from './lib/limits/WorkspaceLimiter';
export { LimitDivider } from './lib/limits/LimitDivider';
export { UrgencyQueue, type RankedItem } from './lib/queue/UrgencyQueue';
export { RetryBudget, type RetryBudgetOptions } from './lib/limits/RetryBudget';
export type {
  ClassDemand,
  ScaledEndpoint,
  ScalingDecision,
  ScalingInput,
  ScalingOptions,
} from './lib/scaling/ScalingTypes';
export { ScalingPolicy } from './lib/scaling/ScalingPolicy';
export {
  RolloutPolicy,
  type EngineSetup,
  type RolloutDecision,
  type RolloutEndpoint,
  type RolloutOptions,
} from './lib/scaling/RolloutPolicy';
export {
  DEFAULT_PLACEMENT_OPTIONS,
  chooseEndpoint,
  rankByHash,
  type EndpointView,
  type PlacementOptions,
} from './lib/placement/chooseEndpoint';
export {
  DEFAULT_ENGINE_OPTIONS,
  chooseEngine,
  type EngineChoice,
  type EngineOptions,
  type EngineView,
  type PromptCost,
} from './lib/placement/chooseEngine';
export {
  EngineEstimator,
  type EngineId,
  type ObservedPrefill,
  type PoolFigures,
} from './lib/engines/EngineEstimator';
export { OBSERVATION_KINDS, type EngineSums } from './lib/engines/EngineRecord';
export type { LogSums } from './lib/engines/DecayedSums';
export { MomentaryFigure } from './lib/engines/MomentaryFigure';
export {
  DEFAULT_ADMISSION_OPTIONS,
  admits,
  canFinish,
  isReturning,
  type AdmissionInput,
  type AdmissionOptions,
} from './lib/placement/admits';
export { URGENCY_LEVELS, UrgencyScale, type RankPair } from './lib/placement/UrgencyScale';
export { retryAfterMs } from './lib/placement/retryAfter';
export { combineEstimates, type WeightedEstimate } from './lib/streams/combineEstimates';
export {
  MIN_ENGINES_TO_SPLIT,
  countStreamEngines,
  type StreamDemand,
} from './lib/streams/countStreamEngines';
export { DecayedHistogram } from './lib/streams/DecayedHistogram';
export { DecayedRate } from './lib/streams/DecayedRate';
export {
  selectStreamEngines,
  type StreamEngineView,
  type StreamPlacement,
  type StreamPlacementKind,
  type StreamPlacementOptions,
} from './lib/streams/selectStreamEngines';
export { StreamEngineCount } from './lib/streams/StreamEngineCount';
export { tightPauseMs } from './lib/streams/tightPauseMs';
export { FleetRecovery, type RecoveryReport } from './lib/health/FleetRecovery';
export { RecoveryWindow, type RecoveryCounts, type RecoveryEnd } from './lib/health/RecoveryWindow';
export { BodyAccount } from './lib/limits/BodyAccount';
export { BodyBudget, type BodyBudgetOptions } from './lib/limits/BodyBudget';
export { type HeldBody } from './lib/limits/chooseBodiesToEnd';
export { AdmissionCredits } from './lib/admission/AdmissionCredits';
export {
  divideAdmission,
  type AdmissionBudget,
  type AdmissionDemand,
  type AdmittedFraction,
} from './lib/admission/divideAdmission';
export { divideFairly, type Claim } from './lib/admission/divideFairly';
export { PrefillCapacity, type PoolLoad } from './lib/admission/PrefillCapacity';
export { returnAfterMs } from './lib/admission/returnAfter';
export {
  Shortage,
  admissiblePerS,
  backlogMs,
  excessMs,
  type ShortageInput,
} from './lib/admission/Shortage';
