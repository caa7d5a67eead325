import { LifecycleTable, type NotRun } from '@berylwood/base';
import { createMachine } from 'xstate';

/** Properties of a state of a request in the entry. @internal */
export interface ExchangeNote {
  /** Whether the attempt is proved not to have run. */
  readonly notRun: NotRun;
  /** Time in the state after which `expire` is sent, in milliseconds. */
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

/** Time to wait for a new link before an attempt without a response counts as lost. */
const DETACHED_TIMEOUT_MS = 4000;

/** Time to wait for a new link during a response, which cannot continue on another endpoint. */
const STREAM_DETACHED_TIMEOUT_MS = 12_000;

const REVOKE_TIMEOUT_MS = 2000;

const endTransitions = { fail: 'failed', cancel: 'cancelled' } as const;
const sidecarTransitions = {
  head: 'streaming',
  refused: 'deferred',
  broken: 'broken',
  lost: 'lost',
} as const;

/** Lifecycle of a request in the entry. @internal */
const exchangeMachine = createMachine({
  id: 'entry',
  initial: 'waiting',
  states: {
    waiting: {
      meta: notRun,
      on: { claim: 'claiming', dispatch: 'dispatched', refused: 'deferred', ...endTransitions },
    },
    claiming: {
      meta: notRun,
      on: { dispatch: 'dispatched', replay: 'completed', refused: 'deferred', ...endTransitions },
    },
    dispatched: {
      meta: unknown,
      on: { accepted: 'accepted', linkLost: 'detached', ...sidecarTransitions, ...endTransitions },
    },
    accepted: {
      meta: unknown,
      on: { linkLost: 'detached', ...sidecarTransitions, ...endTransitions },
    },
    detached: {
      meta: { notRun: 'unknown', limitMs: DETACHED_TIMEOUT_MS },
      on: { linkOpened: 'revoking', sidecarGone: 'lost', expire: 'lost', ...endTransitions },
    },
    revoking: {
      meta: { notRun: 'unknown', limitMs: REVOKE_TIMEOUT_MS },
      on: {
        never: 'deferred',
        resumed: 'accepted',
        linkLost: 'detached',
        expire: 'lost',
        ...sidecarTransitions,
        ...endTransitions,
      },
    },
    streaming: {
      meta: ran,
      on: { end: 'completed', broken: 'broken', linkLost: 'streamDetached', ...endTransitions },
    },
    streamDetached: {
      meta: { notRun: false, limitMs: STREAM_DETACHED_TIMEOUT_MS },
      on: { linkOpened: 'streaming', sidecarGone: 'broken', expire: 'broken', ...endTransitions },
    },
    deferred: { meta: notRun, on: { retry: 'waiting', ...endTransitions } },
    lost: { meta: unknown, on: { retry: 'waiting', ...endTransitions } },
    broken: { meta: ran, on: { retry: 'waiting', ...endTransitions } },
    completed: { type: 'final', meta: ran },
    failed: { type: 'final', meta: unknown },
    cancelled: { type: 'final', meta: unknown },
  },
});

/** @internal */
export const exchangeTable = new LifecycleTable<ExchangeNote>(exchangeMachine);
