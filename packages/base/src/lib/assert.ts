/** Error of a broken invariant: a fault of the program, never of its input. @public */
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

/** Closes an exhaustive switch: the compiler refuses a case that was left out. @public */
export function unreachable(value: never): never {
  throw new InvariantError(`unexpected case: ${JSON.stringify(value)}`);
}
