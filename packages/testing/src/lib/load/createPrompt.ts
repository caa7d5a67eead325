import type { Arrival } from './createArrivals';
import type { ClassLoad } from './LoadScenario';

const CHARACTERS_PER_TOKEN = 4;

function fill(text: string, tokens: number): string {
  const length = tokens * CHARACTERS_PER_TOKEN;
  return `${text} `.repeat(Math.ceil(length / (text.length + 1))).slice(0, length);
}

/**
 * Prompt of a request: a prefix that others of its workspace share, then a text of its own.
 * @param run - identity of the run, so that no two runs send the same request.
 * @public
 */
export function createPrompt(arrival: Arrival, load: ClassLoad, run: string): string {
  const { workspace, class: name, prefix, number } = arrival;
  const shared = fill(`${workspace} ${name} guide ${prefix}`, load.prefixTokens);
  const ownTokens = Math.max(0, load.promptTokens - load.prefixTokens);
  return `${shared}[${run} ${number}] ${fill(`note ${number}`, ownTokens)}`;
}
