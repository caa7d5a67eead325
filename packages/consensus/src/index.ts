/** A replicated log to embed: elections, leader lease, snapshots and membership change. */
export { StateMachine } from './lib/StateMachine';
export { ReplicatedLog, type Applied, type LogStatus } from './lib/ReplicatedLog';
export { LocalLog } from './lib/LocalLog';
