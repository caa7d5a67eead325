import { EventOrder, type EventPosition } from './EventOrder';

/** Events without ids, as in streams that are resumed by the number of events. @public */
export class UnnumberedEvents extends EventOrder {
  override readonly lastId = undefined;

  override place(id: number | undefined): EventPosition {
    return id === undefined ? { type: 'next' } : { type: 'foreign', reason: 'an id' };
  }

  override withdraw(): void {
    // Events without ids leave no position to go back from.
  }

  override resume(): void {
    // The request for the rest names the number of events, so none is repeated.
  }
}
