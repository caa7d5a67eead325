import { z } from 'zod';

/** Maximum length of the name of a data centre in an order, in characters. @public */
export const MAX_DATA_CENTRE_LENGTH = 128;

/**
 * Maximum number of data centres that may be evacuated at the same time. Each status message carries all of
 * them, so that orders with arbitrary names must not make it grow without bound.
 * @internal
 */
export const MAX_EVACUATED_DATA_CENTRES = 64;

/** The data centres that operators have ordered to be evacuated. @public */
export interface EvacuationState {
  /** Grows with each change; 0 before the first one. */
  readonly revision: number;
  readonly dataCentres: readonly string[];
}

/** Outcome of a proposed start or end of an evacuation. @public */
export interface EvacuateOutcome {
  /**
   * Whether the order is in force. It is `outdated` if the evacuations have changed since it was received,
   * and `tooMany` if too many data centres are evacuated.
   */
  readonly result: 'inForce' | 'outdated' | 'tooMany';
  /** Revision in force. */
  readonly revision: number;
}

/** Start or end of the evacuation of a data centre. @public */
export interface EvacuationOrder {
  readonly dataCentre: string;
  /** Whether the data centre is to be evacuated. */
  readonly isEvacuated: boolean;
  /** Revision known to the instance that has received the order, when it received it. */
  readonly basis: number;
}

/** @internal */
export const NO_EVACUATIONS: EvacuationState = { revision: 0, dataCentres: [] };

/** @internal */
export const dataCentreSchema = z
  .string()
  .min(1)
  .refine((name) => [...name].length <= MAX_DATA_CENTRE_LENGTH);

/** @internal */
export const evacuationStateSchema = z.object({
  revision: z.int().nonnegative(),
  dataCentres: z.array(dataCentreSchema).max(MAX_EVACUATED_DATA_CENTRES),
});

/**
 * Applies the order at an index of the log. A repeated order changes nothing. An order that was delayed, for
 * example in an instance that did not run for a time, must not undo a later one that was acknowledged: it is
 * outdated if the revision has grown beyond its basis. The same rule skips orders that are applied again on
 * top of the state that contains them, when a replica is reopened.
 * @internal
 */
export function applyOrder(
  state: EvacuationState,
  index: number,
  { dataCentre, isEvacuated, basis }: EvacuationOrder,
): { readonly state: EvacuationState; readonly result: EvacuateOutcome['result'] } {
  const { revision, dataCentres } = state;
  if (dataCentres.includes(dataCentre) === isEvacuated) return { state, result: 'inForce' };
  if (basis < revision) return { state, result: 'outdated' };
  if (isEvacuated && dataCentres.length >= MAX_EVACUATED_DATA_CENTRES)
    return { state, result: 'tooMany' };
  const others = dataCentres.filter((name) => name !== dataCentre);
  const after = {
    // Above the basis also if the log was begun anew, since instances ignore lower revisions.
    revision: Math.max(index, basis + 1),
    dataCentres: isEvacuated ? [...others, dataCentre] : others,
  };
  return { state: after, result: 'inForce' };
}
