/** State machine of the replicated log: keys, configuration, claims, orders and usage. */
export {
  commandSchema,
  decodeCommand,
  decodeOutcome,
  encodeCommand,
  encodeOutcome,
  type Command,
  type CommandOf,
  type CommandOutcome,
  type DoneOutcome,
} from './lib/Command';
export { ledgerCodes } from './lib/codes';
export type { Revision } from './lib/ConfigurationHistory';
export { Ledger, type LedgerOptions } from './lib/Ledger';
export type { Order } from './lib/Orders';
export type { OrderStep } from './lib/orderLife';
export { splitBackup } from './lib/Restoration';
export { QUARANTINE_CRASHES, SUSPICION_MS } from './lib/Suspicions';
export type { ClosedWindow, UsageLine } from './lib/UsageWindows';
