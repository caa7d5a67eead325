import {
  configurationSchema,
  idSchema,
  keyRecordSchema,
  orderActionSchema,
  type ChangeId,
  type KeyId,
  type OrderId,
} from '@berylwood/schema';
import type { Failure } from '@berylwood/base';
import { TRPCError, initTRPC } from '@trpc/server';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { OperatorService } from './OperatorService';

const MAX_WAIT_MS = 60_000;

/** Converts a failure to a tRPC error with the code's number, so that the client can print it. */
function unwrap<T>(result: Result<T, Failure>): T {
  if (result.isOk()) return result.value;
  const { code, message } = result.error;
  throw new TRPCError({ code: 'PRECONDITION_FAILED', message: `${code.number}: ${message}` });
}

const trpc = initTRPC.context<{ service: OperatorService }>().create();
const { procedure } = trpc;
const change = idSchema<ChangeId>();
const replica = z.object({ replica: z.string().min(1).max(63) });

/** Procedures that change the configuration and the keys. */
const changes = {
  applyPlans: procedure
    .input(
      z.object({
        change,
        operator: z.string(),
        expected: z.number().int(),
        configuration: configurationSchema,
      }),
    )
    .mutation(async ({ input, ctx }) => {
      const { operator, expected, configuration } = input;
      const { service } = ctx;
      return unwrap(
        await service.applyConfiguration(input.change, operator, expected, configuration),
      );
    }),
  giveKey: procedure
    .input(z.object({ change, record: keyRecordSchema }))
    .mutation(async ({ input, ctx }) =>
      unwrap(await ctx.service.giveKey(input.change, input.record)),
    ),
  withdrawKey: procedure
    .input(z.object({ change, key: idSchema<KeyId>() }))
    .mutation(async ({ input, ctx }) =>
      unwrap(await ctx.service.withdrawKey(input.change, input.key)),
    ),
  intendOrder: procedure
    .input(z.object({ change, order: idSchema<OrderId>(), action: orderActionSchema }))
    .mutation(async ({ input, ctx }) =>
      unwrap(await ctx.service.intendOrder(input.change, input.order, input.action)),
    ),
};

/** Procedures that read the state. */
const queries = {
  position: procedure.query(async ({ ctx }) => unwrap(await ctx.service.position())),
  showPlans: procedure.query(async ({ ctx }) => unwrap(await ctx.service.configuration())),
  history: procedure.query(async ({ ctx }) => unwrap(await ctx.service.history())),
  listKeys: procedure.query(async ({ ctx }) => unwrap(await ctx.service.keys())),
  usage: procedure.query(async ({ ctx }) => unwrap(await ctx.service.usage())),
  windows: procedure.query(async ({ ctx }) => unwrap(await ctx.service.windows())),
  orders: procedure.query(async ({ ctx }) => unwrap(await ctx.service.orders())),
  waitInForce: procedure
    .input(z.object({ index: z.number().int(), timeoutMs: z.number().max(MAX_WAIT_MS) }))
    .query(async ({ input, ctx }) =>
      unwrap(await ctx.service.waitInForce(input.index, input.timeoutMs)),
    ),
  status: procedure.query(({ ctx }) => ctx.service.status()),
};

/** Procedures on the replicas of the group, and its backup and restore. */
const group = {
  replicas: procedure.query(async ({ ctx }) => unwrap(await ctx.service.replicas())),
  addReplica: procedure
    .input(replica)
    .mutation(async ({ input, ctx }) => unwrap(await ctx.service.addReplica(input.replica))),
  removeReplica: procedure
    .input(replica)
    .mutation(async ({ input, ctx }) => unwrap(await ctx.service.removeReplica(input.replica))),
  /** The backup in base64, as tRPC carries JSON. */
  backup: procedure.query(async ({ ctx }) => {
    const backup = unwrap(await ctx.service.backup());
    return Buffer.from(backup).toString('base64');
  }),
  restore: procedure
    .input(z.object({ backup: z.base64() }))
    .mutation(async ({ input, ctx }) =>
      unwrap(await ctx.service.restore(Buffer.from(input.backup, 'base64'))),
    ),
};

/** Procedures that operators call. @public */
export const operatorRouter = trpc.router({ ...changes, ...queries, ...group });

export type OperatorRouter = typeof operatorRouter;
