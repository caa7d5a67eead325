/** Stand-ins of what stands outside the system, and tools of the tests. */
export { History, type HistoryRecord } from './lib/History';
export { StandIn } from './lib/StandIn';
export { Batch, type BatchOptions, type Generation } from './lib/engine/Batch';
export { EngineServer } from './lib/engine/EngineServer';
export { type EngineOptions } from './lib/engine/EngineOptions';
export { type ExportedStream } from './lib/engine/EngineStream';
export { ServiceServer, type ServiceOptions } from './lib/ServiceServer';
export { PlatformServer, type PlatformOptions } from './lib/platform/PlatformServer';
export { expectedAnswer, promptMark, answerToken } from './lib/engine/answer';
export { Relay, type RelayMode } from './lib/Relay';
export { ChildProcess, type ChildOptions, type Exit } from './lib/ChildProcess';
export { Deployment } from './lib/Deployment';
export { type DeploymentPlan, type EndpointPlan } from './lib/DeploymentPlan';
export { callCompletion, type Call, type Reply } from './lib/callCompletion';
export { until } from './lib/until';
