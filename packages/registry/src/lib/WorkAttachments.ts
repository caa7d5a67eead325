/** Values that instances and the leader attach to the work that they exchange; opaque to the mesh. @public */
export interface WorkAttachments {
  /** Returns the value that this instance attaches for the leader. */
  readonly createReport: () => unknown;
  /** Called on the leader with the value of an instance, given by its address; validates it. */
  readonly receiveReport: (instance: string, value: unknown) => void;
  /** Returns the value that this instance, as the leader, attaches for an instance. */
  readonly createUpdate: (instance: string) => unknown;
  /** Called with the value of the leader; validates it. */
  readonly receiveUpdate: (value: unknown) => void;
}
