import { EventOrder, type EventPosition } from './EventOrder';

/** An id as a caller may write it. */
const ID = /^\d{1,16}$/;

/** Events with ids that increase; a resumed stream may repeat events at its start. @public */
export class IncreasingIds extends EventOrder {
  #lastId: number | undefined;

  #idBefore: number | undefined;

  /** Whether the stream may still repeat events that were forwarded before it was resumed. */
  #mayRepeat = false;

  /** @param after - id of the last event that the caller already has. */
  constructor(after: string | undefined) {
    super();
    if (after === undefined || !ID.test(after)) return;
    this.#lastId = Number(after);
    this.#mayRepeat = true;
  }

  override get lastId(): string | undefined {
    return this.#lastId === undefined ? undefined : String(this.#lastId);
  }

  override place(id: number | undefined): EventPosition {
    if (id === undefined) return { type: 'foreign', reason: 'no id' };
    if (this.#lastId === undefined || id > this.#lastId) {
      this.#idBefore = this.#lastId;
      this.#lastId = id;
      this.#mayRepeat = false;
      return { type: 'next' };
    }
    if (this.#mayRepeat) return { type: 'repeated' };
    return { type: 'foreign', reason: `id ${id} after ${this.#lastId}` };
  }

  override withdraw(): void {
    this.#lastId = this.#idBefore;
  }

  override resume(): void {
    this.#mayRepeat = true;
  }
}
