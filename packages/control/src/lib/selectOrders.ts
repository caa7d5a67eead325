import type { Order } from '@berylwood/ledger';
import type { OrderId } from '@berylwood/schema';

function receiverOf({ action }: Order): string {
  return action.type === 'start' || action.type === 'stop' ? 'platform' : action.endpoint;
}

/**
 * Selects the orders that may be sent now. A receiver gets no new order while an order that an earlier
 * leader sent to it has no answer. The network may still deliver that earlier order, and by then it
 * must be a duplicate of an order that the receiver has already accepted.
 * @param open - orders without an answer.
 * @param inherited - ids of the orders that an earlier leader sent.
 * @internal
 */
export function selectOrders(
  open: readonly Order[],
  inherited: ReadonlySet<OrderId>,
): readonly Order[] {
  const unsettled = open.filter(({ order }) => inherited.has(order));
  const receivers = new Set(unsettled.map(receiverOf));
  return open.filter((order) => inherited.has(order.order) || !receivers.has(receiverOf(order)));
}
