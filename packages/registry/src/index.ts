/**
 * Replicated state of a fleet of gateways (the newest routing configuration, the evacuations of
 * data centres and the closed usage windows) and the mesh that distributes it to all instances.
 */
export { PeerTransport, type PeerTransportOptions } from './lib/PeerTransport';
export {
  RegistryMachine,
  type StoredConfiguration,
  type ConfigureOutcome,
} from './lib/RegistryMachine';
export { Registry, type RegistryOptions } from './lib/Registry';
export {
  MAX_DATA_CENTRE_LENGTH,
  type EvacuateOutcome,
  type EvacuationState,
} from './lib/EvacuationState';
export type { WorkAttachments } from './lib/WorkAttachments';
export { Mesh } from './lib/Mesh';
export type { MeshOptions } from './lib/MeshOptions';
export type { OperatorListener } from './lib/OperatorListener';
export { OperatorListeners } from './lib/OperatorListeners';
export type { EndpointWork } from './lib/MeshMessage';
export type { StreamKey, StreamOrigin } from './lib/StreamOrigin';
export { StreamOrigins } from './lib/StreamOrigins';
export type { RecordOutcome } from './lib/OriginBatch';
export { RotatingBatch } from './lib/RotatingBatch';
export { UsageLedger, type WindowCounts } from './lib/UsageLedger';
export { FleetClock } from './lib/FleetClock';
export { registryCodes } from './lib/codes';
export { registryEvents } from './lib/events';
