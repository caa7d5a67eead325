import { LifecycleTable } from '@berylwood/base';
import { createMachine } from 'xstate';

/** Events in the life of a request. @internal */
export type ExchangeEvent = 'read' | 'send' | 'retry' | 'answer' | 'finish' | 'fail' | 'leave';

const ending = { fail: 'failed', leave: 'abandoned' } as const;

/** The life of one client attempt in the gateway. */
const exchangeMachine = createMachine({
  id: 'exchange',
  initial: 'reading',
  states: {
    reading: { on: { read: 'placing', ...ending } },
    placing: { on: { send: 'sent', ...ending } },
    sent: { on: { retry: 'placing', answer: 'answering', finish: 'served', ...ending } },
    // A resumable stream that breaks is placed again; its head stays the first one.
    answering: { on: { retry: 'replacing', finish: 'served', ...ending } },
    replacing: { on: { send: 'answering', ...ending } },
    served: { type: 'final' },
    failed: { type: 'final' },
    abandoned: { type: 'final' },
  },
});

/** @internal */
export const exchangeTable = new LifecycleTable<undefined>(exchangeMachine);
