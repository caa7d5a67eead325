import type { Job } from '../Job';
import { MovingAverage } from './MovingAverage';

/** Answers seen before their average is used. */
const MIN_SAMPLES = 5;

/** Workspaces and classes remembered. */
const CAPACITY = 10_000;

/** Expected work of a job: its prompt, and the usual answer of its workspace and class. @internal */
export class WorkEstimate {
  readonly #answers = new Map<string, MovingAverage>();

  /** Expected work, in tokens of prompt and answer; at least 1. */
  of(job: Job): number {
    const answers = this.#answers.get(keyOf(job));
    const known = answers !== undefined && answers.samples >= MIN_SAMPLES;
    return Math.max(1, job.promptTokens + (known ? answers.value : job.answerTokens));
  }

  /** An answer was completed with this many tokens. */
  completed(job: Job, answerTokens: number): void {
    const key = keyOf(job);
    let answers = this.#answers.get(key);
    if (!answers) {
      if (this.#answers.size >= CAPACITY) this.#answers.clear();
      answers = new MovingAverage(job.answerTokens);
      this.#answers.set(key, answers);
    }
    answers.observe(answerTokens);
  }
}

function keyOf(job: Job): string {
  return `${job.workspace} ${job.class}`;
}
