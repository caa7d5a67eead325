/** Types and validation of settings, operator lists and messages between processes. */
export * from './lib/ids';
export { requestCodes } from './lib/requestCodes';
export { settingsCodes } from './lib/settingsCodes';
export { formatProblem, type Problem } from './lib/Problem';
export { parseToml, readToml } from './lib/parseToml';
export { nearestName } from './lib/naming';
export { promptBlocks } from './lib/promptBlocks';
export * from './lib/Configuration';
export { loadConfiguration } from './lib/loadConfiguration';
export * from './lib/Settings';
export { addressSchema, type CommonSettings } from './lib/commonSettings';
export {
  gatewayProcessSchema,
  type GatewayProcessSettings,
  type GatewaySettings,
} from './lib/GatewaySettings';
export { nameSchema } from './lib/nameSchema';
export * from './lib/AttemptMessage';
export * from './lib/ControlMessage';
export * from './lib/Order';
