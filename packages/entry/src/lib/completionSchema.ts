import { z } from 'zod';

const MAX_NAME_LENGTH = 128;

const messageSchema = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.array(z.looseObject({ type: z.string() })), z.null()]).optional(),
});

/** Fields of a completion request that the entry reads; others are not checked. @internal */
export const completionSchema = z.looseObject({
  model: z.string().min(1).max(MAX_NAME_LENGTH),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().optional(),
  messages: z.array(messageSchema).min(1).optional(),
  prompt: z.union([z.string(), z.array(z.string())]).optional(),
});

export type Completion = z.output<typeof completionSchema>;

/** Text of a prompt in original order; content other than text counts as JSON. @internal */
export function promptOf({ messages = [], prompt = '' }: Completion): string {
  const parts = messages.map(({ role, content }) => {
    const text = typeof content === 'string' ? content : JSON.stringify(content ?? '');
    return `${role}: ${text}`;
  });
  return [...parts, ...(Array.isArray(prompt) ? prompt : [prompt])].join('\n');
}
