/** Reading of server-sent events, so that callers receive only complete events of one run. */
export { EventOrder, type EventPosition } from './lib/EventOrder';
export { EventScanner, type ScannedEvents } from './lib/EventScanner';
export { IncreasingIds } from './lib/IncreasingIds';
export { UnnumberedEvents } from './lib/UnnumberedEvents';
export { MAX_EVENT_BYTES } from './lib/eventLimits';
export { isEventStream } from './lib/isEventStream';
export { readData } from './lib/readData';
export { BLANK_LINE_BYTES, endsWithBlankLine } from './lib/endsWithBlankLine';
