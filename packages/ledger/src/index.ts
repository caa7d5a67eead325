/** State machine on the replicated log: keys, configuration, fencing and usage. */
export {
  commandSchema,
  decodeCommand,
  decodeOutcome,
  encodeCommand,
  encodeOutcome,
  type Command,
  type CommandOutcome,
} from './lib/Command';
export { ledgerCodes } from './lib/codes';
export { Ledger } from './lib/Ledger';
export { Usage, type UsageLine } from './lib/Usage';
