/** The entry role: authenticates, schedules and relays requests. */
export { Entry, type EntryOptions } from './lib/Entry';
export { entryEvents } from './lib/events';
export { exchangeTable, type ExchangeNote } from './lib/exchangeMachine';
