/** Reading of server-sent events, so that callers receive only complete events of one run. */
export { EventScanner, type ScannedEvents } from './lib/EventScanner';
