/** A breach of a promise, found in the records of a run. @public */
export interface Violation {
  /** Name of the check that found it. */
  readonly check: string;
  /** What was seen, with the identities and times that locate it. */
  readonly detail: string;
}
