import { InvariantError } from './assert';

/** Whether a request with this result has run: `unknown` is said when neither can be proved. @public */
export type NotRun = boolean | 'unknown';

/** One numbered result code, as listed in docs/result-codes.md. @public */
export interface Code {
  readonly number: number;
  /** Stable name in snake case, part of the public interface. */
  readonly name: string;
  /** HTTP status shown to a caller. */
  readonly status: number;
  /** What a caller may conclude about the execution of its request. */
  readonly notRun: NotRun;
  /** One sentence on the meaning. */
  readonly meaning: string;
  /** One sentence on what the reader should do. */
  readonly remedy: string;
}

const codes = new Map<number, Code>();

/**
 * Registers a table of result codes and returns it with its literal names.
 * @throws InvariantError if a number is taken already.
 * @public
 */
export function defineCodes<Name extends string>(
  table: Record<Name, Omit<Code, 'name'>>,
): Record<Name, Code> {
  const result = {} as Record<Name, Code>;
  for (const name of Object.keys(table) as Name[]) {
    const code = { name, ...table[name] };
    if (codes.has(code.number)) throw new InvariantError(`result code ${code.number} is taken`);
    codes.set(code.number, code);
    result[name] = code;
  }
  return result;
}

/** All registered codes in numerical order. @public */
export function listCodes(): Code[] {
  return [...codes.values()].sort((a, b) => a.number - b.number);
}

/** The registered code of a number, or undefined. @public */
export function findCode(number: number): Code | undefined {
  return codes.get(number);
}
