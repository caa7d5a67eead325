import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';

/** What a case has sent, received and run, with seconds since its start. */
export class CaseRecord {
  #lines = [];

  #file;

  #startedAt = performance.now();

  constructor(folder) {
    this.#file = join(folder, 'record.txt');
  }

  add(line) {
    const seconds = ((performance.now() - this.#startedAt) / 1000).toFixed(3);
    this.#lines.push(`${seconds.padStart(7)} ${line}`);
  }

  write() {
    writeFileSync(this.#file, `${this.#lines.join('\n')}\n`);
  }
}
