import { noWork, type Work } from '@berylwood/schema';

/** Usage of a response, as a model engine reports it. @internal */
export interface ReportedUsage {
  readonly prompt_tokens?: number;
  readonly completion_tokens?: number;
  readonly prompt_tokens_details?: { readonly cached_tokens?: number };
}

/**
 * Returns the work of a response.
 * @param tokens - tokens counted, for an engine that reports no usage.
 * @internal
 */
export function workOf(usage: ReportedUsage | undefined, tokens: number): Work {
  if (!usage) return { ...noWork, outputTokens: tokens };
  return {
    inputTokens: usage.prompt_tokens ?? 0,
    outputTokens: usage.completion_tokens ?? tokens,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
  };
}
