/** The control role: replicates the state, feeds the nodes and serves operators. */
export { Control, type ControlOptions } from './lib/Control';
export { controlCodes } from './lib/codes';
export { controlEvents } from './lib/events';
export { hashSecret, type ChangeReport, type StatusReport } from './lib/OperatorService';
export type { OperatorRouter } from './lib/operatorRouter';
