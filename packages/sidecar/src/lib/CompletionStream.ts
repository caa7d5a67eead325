import { EventScanner, MAX_EVENT_BYTES, UnnumberedEvents, readData } from '@berylwood/event-stream';
import type { AttemptId, Work } from '@berylwood/schema';
import { workOf, type ReportedUsage } from './ReportedUsage';

/** Data of the event that ends a complete stream. */
const END_MARKER = '[DONE]';

/** Start of a line of data, or of the whole stream. */
const DATA_LINE = /^(?:\xef\xbb\xbf)?data/;
const DATA_LINE_BYTES = 7;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

const EMPTY = Buffer.alloc(0);

/** Fields of a chunk that are read. */
interface Chunk {
  readonly id?: unknown;
  readonly usage?: ReportedUsage | null;
}

/** An event of a run. */
type CompletionEvent =
  | { readonly type: 'token' }
  | { readonly type: 'usage'; readonly usage: ReportedUsage }
  | { readonly type: 'end' };

/**
 * Reads the event stream of one run of a model engine. Each event is a chunk in JSON with the id of the run, but
 * for the end marker, which is the last one. Only complete events of the run are returned, so that foreign bytes
 * neither reach the caller nor count as tokens.
 * @internal
 */
export class CompletionStream {
  readonly #run: AttemptId;

  /** The id of the run, as JSON. */
  readonly #quotedRun: string;

  readonly #scanner = new EventScanner(new UnnumberedEvents());

  #tokens = 0;

  /** Events after the last token, which a resumed stream sends again. */
  #eventsAfterToken = 0;

  /** Events at the start of a resumed stream that may be repeated. */
  #repeatableEvents = 0;

  #usage: ReportedUsage | undefined;

  #hasEnded = false;

  /** Whether the last event was returned and not dropped. */
  #isForwarding = true;

  #problem: string | undefined;

  /** Pieces of the line that is not complete yet. */
  #line: Buffer[] = [];

  /** @param run - id that the engine was given for the run. */
  constructor(run: AttemptId) {
    this.#run = run;
    this.#quotedRun = JSON.stringify(run);
  }

  /** Number of tokens received so far; each event carries one, but for the usage and the end marker. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Usage reported by the engine, or the counted tokens if it reported none. */
  get work(): Work {
    return workOf(this.#usage, this.#tokens);
  }

  /** Whether the end marker was read. Nothing after it belongs to the run. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Why the rest of the engine's bytes cannot be read; undefined if it can. */
  get problem(): string | undefined {
    if (this.#scanner.partialEventBytes > MAX_EVENT_BYTES) return 'the event exceeds maxEventBytes';
    return this.#problem ?? this.#scanner.problem;
  }

  /** Starts to read the stream on another connection, from the event after the last token. */
  resume(): void {
    this.#scanner.resume();
    this.#problem = undefined;
    this.#line = [];
    this.#repeatableEvents = this.#eventsAfterToken;
  }

  /** Returns the new events of the run that the received bytes complete. */
  read(chunk: Buffer): Buffer {
    const parts: Buffer[] = [];
    let from = 0;
    // At most one event ends in a line, so each event can be told from the next one.
    while (from < chunk.length && this.problem === undefined) {
      const end = findLineEnd(chunk, from);
      parts.push(this.#readLine(chunk.subarray(from, end)));
      from = end;
    }
    return Buffer.concat(parts);
  }

  /** Reads a line or, at the end of the received bytes, a piece of one. */
  #readLine(bytes: Buffer): Buffer {
    this.#line.push(bytes);
    if (endsLine(bytes)) this.#endLine();
    if (this.#problem !== undefined) return EMPTY;
    const { eventCount } = this.#scanner;
    const scanned = this.#scanner.push(bytes);
    if (this.#scanner.eventCount > eventCount) this.#isForwarding = this.#accept(scanned.bytes);
    // Without a new event, the bytes complete the end of the last one.
    return this.#isForwarding ? scanned.bytes : EMPTY;
  }

  /** Finds an event that would be lost, because foreign bytes before it made it part of a comment or other field. */
  #endLine(): void {
    const line = this.#line.length === 1 ? (this.#line[0] as Buffer) : Buffer.concat(this.#line);
    this.#line = [];
    const isData = DATA_LINE.test(line.toString('latin1', 0, DATA_LINE_BYTES));
    if (!isData && line.includes(this.#quotedRun)) this.#problem = 'an event inside another line';
  }

  /** Counts an event; returns false if it is not to be forwarded. */
  #accept(bytes: Buffer): boolean {
    const event = this.#hasEnded ? undefined : this.#decode(bytes);
    if (event === undefined) {
      this.#problem = 'an event of another run';
      return false;
    }
    if (event.type === 'token') {
      this.#tokens += 1;
      this.#eventsAfterToken = 0;
      this.#repeatableEvents = 0;
      return true;
    }
    if (event.type === 'usage') this.#usage = event.usage;
    else this.#hasEnded = true;
    if (this.#repeatableEvents > 0) {
      this.#repeatableEvents -= 1;
      return false;
    }
    this.#eventsAfterToken += 1;
    return true;
  }

  /** Returns undefined if the event is not one of the run. */
  #decode(bytes: Buffer): CompletionEvent | undefined {
    const data = readData(bytes);
    if (data === END_MARKER) return { type: 'end' };
    const chunk = parseChunk(data);
    if (chunk?.id !== this.#run) return undefined;
    const { usage } = chunk;
    return typeof usage === 'object' && usage !== null
      ? { type: 'usage', usage }
      : { type: 'token' };
  }
}

/** Parses a chunk of a completion; undefined if the data is no JSON object. */
function parseChunk(data: string): Chunk | undefined {
  try {
    const value: unknown = JSON.parse(data);
    return typeof value === 'object' && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}

/** Returns the position after the line that begins at a position. */
function findLineEnd(bytes: Buffer, from: number): number {
  for (let at = from; at < bytes.length; at += 1) {
    if (bytes[at] === LINE_FEED) return at + 1;
    if (bytes[at] === CARRIAGE_RETURN) return bytes[at + 1] === LINE_FEED ? at + 2 : at + 1;
  }
  return bytes.length;
}

function endsLine(bytes: Buffer): boolean {
  const last = bytes.at(-1);
  return last === LINE_FEED || last === CARRIAGE_RETURN;
}
