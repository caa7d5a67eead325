/** How an event stands to the events before it. @public */
export type EventPosition =
  | { readonly type: 'next' }
  /** An event that was forwarded before the stream was resumed. */
  | { readonly type: 'repeated' }
  /** An event that the endpoint cannot have sent here. */
  | { readonly type: 'foreign'; readonly reason: string };

/** Decides which event may follow in a stream. @public */
export abstract class EventOrder {
  /** Id of the last event, after which the stream can be resumed; undefined without one. */
  abstract readonly lastId: string | undefined;

  /** Places the next event by its id, which is undefined if it has none. */
  abstract place(id: number | undefined): EventPosition;

  /** Withdraws the last event that was placed as next. */
  abstract withdraw(): void;

  /** Starts a stream that may repeat events. */
  abstract resume(): void;
}
