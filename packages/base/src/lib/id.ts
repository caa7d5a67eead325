import { randomBytes } from 'node:crypto';

declare const brand: unique symbol;

/** A branded string, produced only by the functions that create or validate ids of its kind. @public */
export type Id<Kind extends string> = string & { readonly [brand]: Kind };

/** Random bytes in a generated id: 96 bits make a collision negligible. */
const RANDOM_BYTES = 12;

/** Creates an id of the form `prefix-<24 hex digits>`. @public */
export function createId<Kind extends string>(prefix: string): Id<Kind> {
  return `${prefix}-${randomBytes(RANDOM_BYTES).toString('hex')}` as Id<Kind>;
}

/** Brands a string that is already known to be a valid id of the kind. @public */
export function asId<Kind extends string>(value: string): Id<Kind> {
  return value as Id<Kind>;
}
