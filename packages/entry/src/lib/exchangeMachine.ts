import { LifecycleTable, type NotRun } from '@berylwood/base';
import { createMachine } from 'xstate';

/** What may be said of the present attempt of a request in one state of the entry. @internal */
export interface ExchangeNote {
  /** Whether the attempt is proved not to have run. */
  readonly notRun: NotRun;
  /** Time without news after which `expire` is sent, in milliseconds. */
  readonly limitMs?: number;
}

/** Events of a request in the entry. @internal */
export type ExchangeEvent =
  | 'claim'
  | 'replay'
  | 'dispatch'
  | 'accepted'
  | 'refused'
  | 'head'
  | 'end'
  | 'broken'
  | 'lost'
  | 'linkLost'
  | 'linkOpened'
  | 'never'
  | 'resumed'
  | 'sidecarGone'
  | 'expire'
  | 'retry'
  | 'fail'
  | 'cancel';

const notRun: ExchangeNote = { notRun: true };
const ran: ExchangeNote = { notRun: false };
const unknown: ExchangeNote = { notRun: 'unknown' };

/** Time for a new link before a request that has sent nothing to its caller goes elsewhere. */
const DETACHED_LIMIT_MS = 4000;

/** Time for a new link in the middle of an answer, which can go on nowhere else. */
const STREAM_DETACHED_LIMIT_MS = 12_000;

const REVOKE_LIMIT_MS = 2000;

const ending = { fail: 'failed', cancel: 'cancelled' } as const;
const word = { head: 'streaming', refused: 'deferred', broken: 'broken', lost: 'lost' } as const;

/** The life of a request in the entry. @internal */
const exchangeMachine = createMachine({
  id: 'entry',
  initial: 'waiting',
  states: {
    waiting: {
      meta: notRun,
      on: { claim: 'claiming', dispatch: 'dispatched', refused: 'deferred', ...ending },
    },
    claiming: {
      meta: notRun,
      on: { dispatch: 'dispatched', replay: 'completed', refused: 'deferred', ...ending },
    },
    dispatched: {
      meta: unknown,
      on: { accepted: 'accepted', linkLost: 'detached', ...word, ...ending },
    },
    accepted: { meta: unknown, on: { linkLost: 'detached', ...word, ...ending } },
    detached: {
      meta: { notRun: 'unknown', limitMs: DETACHED_LIMIT_MS },
      on: { linkOpened: 'revoking', sidecarGone: 'lost', expire: 'lost', ...ending },
    },
    revoking: {
      meta: { notRun: 'unknown', limitMs: REVOKE_LIMIT_MS },
      on: {
        never: 'deferred',
        resumed: 'accepted',
        linkLost: 'detached',
        expire: 'lost',
        ...word,
        ...ending,
      },
    },
    streaming: {
      meta: ran,
      on: { end: 'completed', broken: 'broken', linkLost: 'streamDetached', ...ending },
    },
    streamDetached: {
      meta: { notRun: false, limitMs: STREAM_DETACHED_LIMIT_MS },
      on: { linkOpened: 'streaming', sidecarGone: 'broken', expire: 'broken', ...ending },
    },
    deferred: { meta: notRun, on: { retry: 'waiting', ...ending } },
    lost: { meta: unknown, on: { retry: 'waiting', ...ending } },
    broken: { meta: ran, on: { retry: 'waiting', ...ending } },
    completed: { type: 'final', meta: ran },
    failed: { type: 'final', meta: unknown },
    cancelled: { type: 'final', meta: unknown },
  },
});

/** @internal */
export const exchangeTable = new LifecycleTable<ExchangeNote>(exchangeMachine);
