/** The sidecar role: the only way to an endpoint. */
export { Sidecar, type SidecarOptions } from './lib/Sidecar';
export { sidecarEvents } from './lib/events';
export { attemptTable, type AttemptStateMeta } from './lib/attemptMachine';
