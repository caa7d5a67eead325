import type { Order } from '@berylwood/ledger';
import type { OrderId } from '@berylwood/schema';

function receiverOf({ action }: Order): string {
  return action.type === 'start' || action.type === 'stop' ? 'platform' : action.endpoint;
}

/**
 * Orders that may be given now. A receiver gets no new order while one that an earlier leader sent
 * to it has no answer: the network may still deliver that one, and then it must be a repeat of an
 * order that the receiver has taken.
 * @param open - orders without an answer.
 * @param inherited - orders that an earlier leader sent.
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
