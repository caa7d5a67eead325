import type { WorkAttachments } from '@berylwood/registry';

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null;

/** Merges the records of several parts; undefined if none has anything to attach. */
function merge(values: readonly unknown[]): Record<string, unknown> | undefined {
  const records = values.filter(isRecord);
  return records.length === 0 ? undefined : Object.assign({}, ...records);
}

/**
 * Combines the values that several parts attach to the work exchanged with the leader. Each part returns a
 * record with keys of its own and receives the records of all parts, in which it ignores other keys.
 * @internal
 */
export class LeaderExchange implements WorkAttachments {
  readonly #parts: WorkAttachments[] = [];

  add(part: WorkAttachments): void {
    this.#parts.push(part);
  }

  readonly createReport = (): unknown => merge(this.#parts.map((part) => part.createReport()));

  readonly receiveReport = (instance: string, value: unknown): void => {
    for (const part of this.#parts) part.receiveReport(instance, value);
  };

  readonly createUpdate = (instance: string): unknown =>
    merge(this.#parts.map((part) => part.createUpdate(instance)));

  readonly receiveUpdate = (value: unknown): void => {
    for (const part of this.#parts) part.receiveUpdate(value);
  };
}
