import { LifecycleTable, type NotRun } from '@berylwood/base';
import { createMachine } from 'xstate';

/** Metadata of one state of an attempt in the sidecar. @internal */
export interface AttemptStateMeta {
  /** Reply to an entry that revokes the attempt. */
  readonly revoked: 'never' | 'running' | 'ran' | 'unknown';
  /** Value of `notRun` in an error that ends the attempt in this state. */
  readonly notRun: NotRun;
}

/** Events of an attempt in the sidecar. @internal */
export type AttemptEvent =
  | 'start'
  | 'refuse'
  | 'revoke'
  | 'cancel'
  | 'head'
  | 'end'
  | 'fail'
  | 'crash'
  | 'unreached'
  | 'preempt';

const never: AttemptStateMeta = { revoked: 'never', notRun: true };
const running: AttemptStateMeta = { revoked: 'running', notRun: false };
const ran: AttemptStateMeta = { revoked: 'ran', notRun: false };
const unknown: AttemptStateMeta = { revoked: 'unknown', notRun: 'unknown' };

const failureTransitions = { fail: 'failed', crash: 'crashed', cancel: 'cancelled' } as const;

/** State machine of an attempt in the sidecar. @internal */
const attemptMachine = createMachine({
  id: 'sidecar',
  initial: 'queued',
  states: {
    queued: {
      meta: never,
      on: { start: 'handed', refuse: 'refused', revoke: 'revoked', cancel: 'revoked' },
    },
    handed: {
      meta: { revoked: 'running', notRun: 'unknown' } satisfies AttemptStateMeta,
      on: {
        head: 'streaming',
        unreached: 'unreached',
        fail: 'lost',
        crash: 'crashedEarly',
        cancel: 'cancelled',
      },
    },
    streaming: { meta: running, on: { end: 'whole', preempt: 'suspended', ...failureTransitions } },
    suspended: { meta: running, on: { start: 'streaming', ...failureTransitions } },
    refused: { type: 'final', meta: never },
    revoked: { type: 'final', meta: never },
    unreached: { type: 'final', meta: never },
    lost: { type: 'final', meta: unknown },
    crashedEarly: { type: 'final', meta: unknown },
    whole: { type: 'final', meta: ran },
    failed: { type: 'final', meta: ran },
    crashed: { type: 'final', meta: ran },
    cancelled: { type: 'final', meta: ran },
  },
});

/** @internal */
export const attemptTable = new LifecycleTable<AttemptStateMeta>(attemptMachine);
