/** Routes callers' requests to endpoints over plain HTTP by a replicated configuration. */
export { Gateway, type GatewayOptions } from './lib/Gateway';
export * from './lib/ids';
export * from './lib/RoutingConfiguration';
export * from './lib/Wire';
export { isFieldValue } from './lib/isFieldValue';
export { addressSchema, endpointIdSchema, softwareVersionSchema } from './lib/endpointSchemas';
export { RoutingTable, chooseTarget } from './lib/RoutingTable';
export { gatewayCodes } from './lib/codes';
export { gatewayEvents } from './lib/events';
export { valuesOf } from './lib/valuesOf';
