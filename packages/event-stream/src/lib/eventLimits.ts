/** Bytes of one event. An endpoint in trouble may send an event that never ends. @public */
export const MAX_EVENT_BYTES = 1024 * 1024;
