import { InvariantError } from './assert';

/**
 * Whether it is proved that a request with this result did not run: `true` if it did not and never
 * will, `false` if it ran at least in part, `unknown` if neither can be proved.
 * @public
 */
export type NotRun = boolean | 'unknown';

/** One numbered result code, as listed in docs/result-codes.md. @public */
export interface Code {
  readonly number: number;
  /** Stable name in snake case, part of the public interface. */
  readonly name: string;
  /** HTTP status of the response to the caller. */
  readonly status: number;
  /** Default for failures with this code; a failure may override it. */
  readonly notRun: NotRun;
  /** Describes the failure in one sentence. */
  readonly meaning: string;
  /** Recommends an action to the caller or operator in one sentence. */
  readonly remedy: string;
}

const codes = new Map<number, Code>();

/**
 * Registers a table of result codes and returns it keyed by its literal names.
 * @throws InvariantError if a number is already registered.
 * @public
 */
export function defineCodes<Name extends string>(
  table: Record<Name, Omit<Code, 'name'>>,
): Record<Name, Code> {
  const result = {} as Record<Name, Code>;
  for (const name of Object.keys(table) as Name[]) {
    const code = { name, ...table[name] };
    if (codes.has(code.number))
      throw new InvariantError(`result code ${code.number} is already registered`);
    codes.set(code.number, code);
    result[name] = code;
  }
  return result;
}

/** Returns all registered codes in numerical order. @public */
export function listCodes(): Code[] {
  return [...codes.values()].sort((a, b) => a.number - b.number);
}

/** Returns the code registered under a number, or undefined. @public */
export function findCode(number: number): Code | undefined {
  return codes.get(number);
}
