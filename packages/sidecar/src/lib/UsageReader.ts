import type { Work } from '@berylwood/schema';
import { workOf, type ReportedUsage } from './ReportedUsage';

/** Number of bytes at the end of a response that are searched for the usage. */
const TAIL_BYTES = 2048;

const USAGE_MARKER = '"usage":{';

/** Reads the usage of a response that is no stream of events, without buffering the response. @internal */
export class UsageReader {
  /** Last chunks: at least `TAIL_BYTES` in total, or the whole response if it is shorter. */
  #tail: Buffer[] = [];

  #tailLength = 0;

  /** Usage reported by the engine; no work if it reported none. */
  get work(): Work {
    return workOf(this.#parseReportedUsage(), 0);
  }

  read(chunk: Buffer): void {
    this.#tail.push(chunk);
    this.#tailLength += chunk.length;
    while (this.#tail[0] && this.#tailLength - this.#tail[0].length >= TAIL_BYTES) {
      this.#tailLength -= this.#tail[0].length;
      this.#tail.shift();
    }
  }

  #parseReportedUsage(): ReportedUsage | undefined {
    const text = Buffer.concat(this.#tail).toString('utf8');
    const at = text.lastIndexOf(USAGE_MARKER);
    if (at < 0) return undefined;
    const start = at + USAGE_MARKER.length - 1;
    let depth = 0;
    for (let end = start; end < text.length; end += 1) {
      if (text[end] === '{') depth += 1;
      if (text[end] === '}') depth -= 1;
      if (depth === 0) return JSON.parse(text.slice(start, end + 1)) as ReportedUsage;
    }
    return undefined;
  }
}
