import { defineEvents } from '@berylwood/base';

/** Log events about the memory and connections that callers take (9100 to 9109). @public */
export const memoryEvents = defineEvents({
  bodyEnded: {
    number: 9100,
    level: 'warn',
    meaning:
      'A request that had not arrived completely, or a response that its caller did not read, was ended because the body budget is spent; at most 10 lines a second.',
    action: 'See OPERATIONS.md, "Memory taken by callers".',
  },
  readerCut: {
    number: 9101,
    level: 'warn',
    meaning:
      'The connection of a caller that did not read its response was closed: after 2 s while its endpoint waited, after 15 s otherwise.',
    action: 'Check the caller if this happens repeatedly.',
  },
  connectionsClosed: {
    number: 9102,
    level: 'warn',
    meaning:
      'Connections without a complete request were closed, as there were too many; at most 1 line a second.',
    action: 'Check who opens the connections, or raise the limit of open files.',
  },
  memoryLimited: {
    number: 9103,
    level: 'info',
    meaning:
      'The limits on bodies, heap and unfinished requests that this process has derived or was given.',
    action: 'none',
  },
});
