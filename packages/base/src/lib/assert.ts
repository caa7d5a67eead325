/** Thrown on a violated invariant, which is a bug in the program and never invalid input. @public */
export class InvariantError extends Error {
  override name = 'InvariantError';
}

/**
 * Throws unless the condition holds.
 * @throws InvariantError
 * @public
 */
export function assert(condition: unknown, message: string): asserts condition {
  if (!condition) throw new InvariantError(message);
}

/**
 * Returns the value, which must be neither null nor undefined.
 * @throws InvariantError
 * @public
 */
export function required<T>(value: T, name: string): NonNullable<T> {
  assert(value !== null && value !== undefined, `${name} is missing`);
  return value;
}

/** Ends an exhaustive switch, so that a missing case is a compile error. @public */
export function unreachable(value: never): never {
  throw new InvariantError(`unexpected case: ${JSON.stringify(value)}`);
}
