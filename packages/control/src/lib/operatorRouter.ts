import { configurationSchema, idSchema, type ChangeId, type KeyId } from '@berylwood/schema';
import type { Failure } from '@berylwood/base';
import { TRPCError, initTRPC } from '@trpc/server';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { OperatorService } from './OperatorService';

const MAX_WAIT_MS = 60_000;

/** Hands a failure to the client with its number, so that it can print the code. */
function unwrap<T>(result: Result<T, Failure>): T {
  if (result.isOk()) return result.value;
  const { code, message } = result.error;
  throw new TRPCError({ code: 'PRECONDITION_FAILED', message: `${code.number}: ${message}` });
}

const trpc = initTRPC.context<{ service: OperatorService }>().create();
const { procedure } = trpc;
const change = idSchema<ChangeId>();

/** Procedures that operators call. @public */
export const operatorRouter = trpc.router({
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
      const result = ctx.service.applyConfiguration(
        input.change,
        operator,
        expected,
        configuration,
      );
      return unwrap(await result);
    }),
  showPlans: procedure.query(({ ctx }) => ctx.service.configuration()),
  giveKey: procedure
    .input(z.object({ change, workspace: z.string() }))
    .mutation(async ({ input, ctx }) =>
      unwrap(await ctx.service.giveKey(input.change, input.workspace)),
    ),
  withdrawKey: procedure
    .input(z.object({ change, key: idSchema<KeyId>() }))
    .mutation(async ({ input, ctx }) =>
      unwrap(await ctx.service.withdrawKey(input.change, input.key)),
    ),
  listKeys: procedure.query(({ ctx }) => ctx.service.keys()),
  waitInForce: procedure
    .input(z.object({ index: z.number().int(), timeoutMs: z.number().max(MAX_WAIT_MS) }))
    .query(({ input, ctx }) => ctx.service.waitInForce(input.index, input.timeoutMs)),
  status: procedure.query(({ ctx }) => ctx.service.status()),
  usage: procedure.query(({ ctx }) => ctx.service.usage()),
});

export type OperatorRouter = typeof operatorRouter;
