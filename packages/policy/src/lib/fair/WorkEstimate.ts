import type { Job } from '../Job';
import { MovingAverage } from './MovingAverage';

/** Number of responses required before their average length is used. */
const MIN_SAMPLES = 5;

/** Maximum number of pairs of workspace and class; the table is cleared when it is full. */
const CAPACITY = 10_000;

/** Expected work of a job: its prompt plus the mean response of its workspace and class. @internal */
export class WorkEstimate {
  readonly #responseLengths = new Map<string, MovingAverage>();

  /** Expected work, in tokens of the prompt and the response; at least 1. */
  of(job: Job): number {
    const lengths = this.#responseLengths.get(keyOf(job));
    const isReliable = lengths !== undefined && lengths.samples >= MIN_SAMPLES;
    return Math.max(1, job.promptTokens + (isReliable ? lengths.value : job.answerTokens));
  }

  /** Records the length of a completed response, in tokens. */
  completed(job: Job, answerTokens: number): void {
    const key = keyOf(job);
    let lengths = this.#responseLengths.get(key);
    if (!lengths) {
      if (this.#responseLengths.size >= CAPACITY) this.#responseLengths.clear();
      lengths = new MovingAverage(job.answerTokens);
      this.#responseLengths.set(key, lengths);
    }
    lengths.observe(answerTokens);
  }
}

function keyOf(job: Job): string {
  return `${job.workspace} ${job.class}`;
}
