/** The control role: replicates the state, feeds the nodes and serves operators. */
export { Control, type ControlOptions } from './lib/Control';
export { Observer, type ObserverOptions } from './lib/Observer';
export { controlCodes } from './lib/codes';
export { controlEvents } from './lib/events';
export type { InForceReport } from './lib/InForceMonitor';
export { hashSecret, type Position, type StatusReport } from './lib/OperatorService';
export type { OperatorRouter } from './lib/operatorRouter';
