/** Persistent connections between the processes of the system: msgpack messages over WebSocket. */
export { linkCodes } from './lib/codes';
export { linkEvents } from './lib/events';
export { Link, type CallHandler } from './lib/Link';
export { LinkServer } from './lib/LinkServer';
export { Dialer, type DialerOptions } from './lib/Dialer';
export { type LinkIdentity, type LinkOptions } from './lib/LinkOptions';
export { parseAddress, splitAddress, type Address } from './lib/address';
export { closeNow } from './lib/closeNow';
export { resetSocket } from './lib/resetSocket';
export { listenOn } from './lib/listenOn';
export { readBody, type BodyCounter, type BodyLimits, type ReadBody } from './lib/readBody';
export { endEarly } from './lib/endEarly';
export { type InputAccount, type InputBudget } from './lib/InputBudget';
export { PacedConnection, type PacedConnectionParts } from './lib/PacedConnection';
export { paceConnections, pacedConnectionOf, type PaceOptions } from './lib/paceConnections';
export { queuedBytesOf } from './lib/queuedBytesOf';
export { ReadScheduler, ScheduledReader } from './lib/ReadScheduler';
