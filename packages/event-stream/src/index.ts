/** Reading of server-sent events, so that callers receive only complete events of one run. */
export { EventOrder, type EventPosition } from './lib/EventOrder';
export { EventScanner, type ScannedEvents } from './lib/EventScanner';
export { IncreasingIds } from './lib/IncreasingIds';
