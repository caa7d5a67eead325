/** The sidecar role: the proxy through which all requests to an endpoint pass. */
export { Sidecar, type SidecarOptions } from './lib/Sidecar';
export { sidecarEvents } from './lib/events';
export { attemptTable, type AttemptStateMeta } from './lib/attemptMachine';
