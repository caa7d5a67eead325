import { createHash } from 'node:crypto';

/** Bytes of a prompt that count as one token. */
const BYTES_PER_TOKEN = 4;

/** Answer length of a request that does not say. */
const DEFAULT_ANSWER_TOKENS = 16;

/** The fields of a completion request that the stand-in reads. @internal */
export interface CompletionRequest {
  readonly model?: string;
  readonly stream?: boolean;
  readonly prompt?: string;
  readonly messages?: { role: string; content: string }[];
  readonly metadata?: Record<string, string>;
  readonly max_tokens?: number;
}

/** The prompt as one text. @internal */
export function promptOf(request: CompletionRequest): string {
  if (typeof request.prompt === 'string') return request.prompt;
  return (request.messages ?? []).map(({ role, content }) => `${role}: ${content}`).join('\n');
}

/** Number of tokens of a text. @internal */
export function countTokens(text: string): number {
  return Math.max(1, Math.ceil(text.length / BYTES_PER_TOKEN));
}

/** Length of the answer in tokens; nobody but the engine knows it before. @internal */
export function answerLength(request: CompletionRequest): number {
  const wanted = Number(request.metadata?.answer_tokens ?? DEFAULT_ANSWER_TOKENS);
  return Math.max(1, Math.min(wanted, request.max_tokens ?? wanted));
}

/** Mark in each token of an answer that ties it to its prompt. @public */
export function promptMark(prompt: string): string {
  return createHash('sha256').update(prompt).digest('hex').slice(0, 8);
}

/** Token number `index` of the answer to a prompt. @public */
export function answerToken(mark: string, index: number): string {
  return `${mark}.${index} `;
}

/** The whole answer of a length to a prompt, as a caller must receive it. @public */
export function expectedAnswer(prompt: string, tokens: number): string {
  const mark = promptMark(prompt);
  return Array.from({ length: tokens }, (_, index) => answerToken(mark, index)).join('');
}
