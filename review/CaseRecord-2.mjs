import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';

/** What was sent, answered and run in a case, with times in milliseconds. */
export class CaseRecord {
  #lines = [];

  #startedAt = performance.now();

  #file;

  constructor(folder) {
    this.#file = join(folder, 'record.txt');
  }

  add(line) {
    const at = (performance.now() - this.#startedAt).toFixed(0).padStart(7);
    this.#lines.push(`${at}  ${line}`);
  }

  write() {
    writeFileSync(this.#file, `${this.#lines.join('\n')}\n`);
  }
}
