import { LifecycleTable } from '@berylwood/base';
import { createMachine } from 'xstate';

/** Events of the lifecycle of a request. @internal */
export type ExchangeEvent = 'read' | 'send' | 'retry' | 'answer' | 'finish' | 'fail' | 'leave';

const ending = { fail: 'failed', leave: 'abandoned' } as const;

/** Lifecycle of one attempt of a caller in the gateway. */
const exchangeMachine = createMachine({
  id: 'exchange',
  initial: 'reading',
  states: {
    reading: { on: { read: 'placing', ...ending } },
    placing: { on: { send: 'sent', ...ending } },
    sent: { on: { retry: 'placing', answer: 'answering', finish: 'served', ...ending } },
    // A resumable stream that breaks is placed again; the caller keeps the head already sent.
    answering: { on: { retry: 'replacing', finish: 'served', ...ending } },
    replacing: { on: { send: 'answering', ...ending } },
    served: { type: 'final' },
    failed: { type: 'final' },
    abandoned: { type: 'final' },
  },
});

/** @internal */
export const exchangeTable = new LifecycleTable<undefined>(exchangeMachine);
