/** Stand-ins of what stands outside the system, and tools of the tests. */
export { History, type HistoryRecord } from './lib/History';
export { StandIn } from './lib/StandIn';
export { Batch, type BatchOptions, type Generation } from './lib/engine/Batch';
export { EngineServer } from './lib/engine/EngineServer';
export { type EngineOptions } from './lib/engine/EngineOptions';
export {
  ScriptedEngine,
  type ScriptedCall,
  type ScriptedResponse,
} from './lib/engine/ScriptedEngine';
export { type ExportedStream } from './lib/engine/EngineStream';
export { ServiceServer, type ServiceOptions } from './lib/ServiceServer';
export { PlatformServer, type PlatformOptions } from './lib/platform/PlatformServer';
export { expectedAnswer, promptMark, answerToken } from './lib/engine/answer';
export { Relay, type RelayMode } from './lib/Relay';
export { ChildProcess, type ChildOptions, type Exit } from './lib/ChildProcess';
export { closeProcesses } from './lib/closeProcesses';
export { Deployment } from './lib/Deployment';
export { type DeploymentPlan, type EndpointPlan } from './lib/DeploymentPlan';
export { callCompletion, type Call, type Reply } from './lib/callCompletion';
export { createAuthority, type CertificateFiles } from './lib/createAuthority';
export { renderMachine } from './lib/renderMachine';
export { until } from './lib/until';
export { readEventStream, type ReceivedEvent } from './lib/readEventStream';
export { processorSeconds, residentMegabytes } from './lib/processUsage';
export { contentDigest } from './lib/contentDigest';
export { type Violation } from './lib/checks/Violation';
export { type CallerRecord } from './lib/checks/CallerRecord';
export { listRuns, type EndpointHistories, type Run } from './lib/checks/Run';
export { checkAnswers } from './lib/checks/checkAnswers';
export { checkNotRun } from './lib/checks/checkNotRun';
export { checkAtMostOnce } from './lib/checks/checkAtMostOnce';
export { checkKeys } from './lib/checks/checkKeys';
export { checkWorkspaces, workspacesOfAttempts } from './lib/checks/checkWorkspaces';
export { checkFences } from './lib/checks/checkFences';
export { checkWindows } from './lib/checks/checkWindows';
export { checkTiers } from './lib/checks/checkTiers';
export { checkWaits } from './lib/checks/checkWaits';
export { checkLeaving } from './lib/checks/checkLeaving';
export { checkWithdrawals } from './lib/checks/checkWithdrawals';
export { checkRevisions, type RevisionRecord } from './lib/checks/checkRevisions';
export { percentile } from './lib/percentile';
export { loadScenarioSchema, type Burst, type LoadScenario } from './lib/load/LoadScenario';
export { type Key } from './lib/load/LoadCaller';
export { LoadRun, type LoadRecords, type Progress } from './lib/load/LoadRun';
export { type LoadReport } from './lib/load/LoadReport';
export { summarize } from './lib/load/summarize';
export { formatReport, formatTable } from './lib/load/formatReport';
export { renderPage } from './lib/load/renderPage';
export { Crowd, chunksOf, headOf, type CrowdRequest } from './lib/load/Crowd';
