import { getNextSnapshot, setup } from 'xstate';

/** Steps in the life of an order. @public */
export type OrderStep = 'intended' | 'sent' | 'unknown' | 'answered';

/** What may happen to an order. @internal */
export type OrderEvent = { type: 'send' } | { type: 'lose' } | { type: 'answer' };

/** An order is recorded before it is sent, and sent again while its answer is not known. */
const machine = setup({ types: { events: {} as OrderEvent } }).createMachine({
  id: 'order',
  initial: 'intended',
  states: {
    intended: { on: { send: 'sent' } },
    sent: { on: { send: 'sent', lose: 'unknown', answer: 'answered' } },
    unknown: { on: { send: 'sent', answer: 'answered' } },
    answered: { type: 'final' },
  },
});

/** The step after an event, or undefined when the event does not fit the step. @internal */
export function nextStep(step: OrderStep, event: OrderEvent): OrderStep | undefined {
  const snapshot = machine.resolveState({ value: step });
  if (!snapshot.can(event)) return undefined;
  return getNextSnapshot(machine, snapshot, event).value;
}
