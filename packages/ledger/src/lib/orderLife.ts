import { getNextSnapshot, setup } from 'xstate';

/** States in the life cycle of an order. @public */
export type OrderStep = 'intended' | 'sent' | 'unknown' | 'answered';

/** Events that change the state of an order. @internal */
export type OrderEvent = { type: 'send' } | { type: 'lose' } | { type: 'answer' };

/** An order is recorded before it is sent, and may be resent until its reply is recorded. */
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

/** Returns the step after an event, or undefined if the step does not allow it. @internal */
export function nextStep(step: OrderStep, event: OrderEvent): OrderStep | undefined {
  const snapshot = machine.resolveState({ value: step });
  if (!snapshot.can(event)) return undefined;
  return getNextSnapshot(machine, snapshot, event).value;
}
