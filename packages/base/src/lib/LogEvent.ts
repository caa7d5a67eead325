import { InvariantError } from './assert';

/** Severity of a log event, named as in pino. @public */
export type Level = 'debug' | 'info' | 'warn' | 'error';

/** One numbered type of log event, as listed in docs/events.md. @public */
export interface LogEvent {
  readonly number: number;
  readonly name: string;
  readonly level: Level;
  readonly meaning: string;
  /** What an operator should do, or "none". */
  readonly action: string;
}

const events = new Map<number, LogEvent>();

/**
 * Registers a table of log events and returns it keyed by its literal names.
 * @throws InvariantError if a number is already registered.
 * @public
 */
export function defineEvents<Name extends string>(
  table: Record<Name, Omit<LogEvent, 'name'>>,
): Record<Name, LogEvent> {
  const result = {} as Record<Name, LogEvent>;
  for (const name of Object.keys(table) as Name[]) {
    const event = { name, ...table[name] };
    if (events.has(event.number))
      throw new InvariantError(`event ${event.number} is already registered`);
    events.set(event.number, event);
    result[name] = event;
  }
  return result;
}

/** Returns all registered events in numerical order. @public */
export function listEvents(): LogEvent[] {
  return [...events.values()].sort((a, b) => a.number - b.number);
}
