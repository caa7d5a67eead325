/** Options of a quarantine of content. @public */
export interface ContentQuarantineOptions {
  /** Consecutive crashes after which content is quarantined. Default 3. */
  readonly crashes?: number;
  /** Number of different witnesses that these crashes need. Default 2. */
  readonly witnesses?: number;
  /** Duration of a quarantine, in milliseconds. Default 600000. */
  readonly holdMs?: number;
  /** Time after which a suspicion without another crash expires, in milliseconds. Default 600000. */
  readonly suspectMs?: number;
  /**
   * Time until a quarantined content that shares its crashes with another one is tried, in milliseconds; each
   * trial without an answer multiplies it by four. Default 3000.
   */
  readonly trialMs?: number;
  /** Maximum number of contents in the table. Default 4096. */
  readonly capacity?: number;
}

/**
 * Evidence against one piece of content: its key, how often it has been cleared, and the witness of each
 * crash since then. Of two suspicions of the same content, the one that was cleared more often holds,
 * then the one with more crashes. So the order in which instances receive them does not matter.
 * @public
 */
export type Suspicion = readonly [
  content: string,
  clearances: number,
  witnesses: readonly string[],
];

/** A content of an attempt, with what was known of it when the attempt was sent. @public */
export interface SentContent {
  readonly suspicion: Suspicion;
  /**
   * Identifies the crash as evidence. For a part of a prompt it is the request, since a repeat of the same
   * request tells nothing new about which of its parts is to blame; for a whole request it is the attempt.
   */
  readonly witness: string;
}

/** State of content; unknown content is cleared. @public */
export type ContentState = 'suspect' | 'quarantined' | 'cleared';

/** Change of a suspicion, with the states before and after it. @public */
export interface SuspicionChange {
  readonly suspicion: Suspicion;
  readonly before: ContentState;
  readonly after: ContentState;
}

const defaults: Required<ContentQuarantineOptions> = {
  crashes: 3,
  witnesses: 2,
  holdMs: 600_000,
  suspectMs: 600_000,
  trialMs: 3000,
  capacity: 4096,
};

/** Factor by which each trial without an answer lengthens the time until the next one. */
const TRIAL_BACKOFF = 4;

/** Start of the witness of a trial, which counts like a crash until the trial is answered. */
const TRIAL_PREFIX = 'trial/';

/** Crashes kept of one content; more change nothing. */
const MAX_CRASHES_KEPT = 8;

interface ContentRecord {
  readonly clearances: number;
  readonly witnesses: readonly string[];
  /** End of the suspicion or quarantine, in milliseconds. */
  readonly until: number;
  /** Time from which a quarantined content may be tried, in milliseconds. */
  readonly trialAt: number;
}

/**
 * Finds the content that crashes endpoints, such as a part that many different prompts share, and holds
 * back what contains it. Load pattern: requests that are no two alike crash each endpoint that begins to
 * answer them, beside sound requests that share all but one of their contents.
 *
 * Whatever was waiting for an answer in an endpoint that crashed becomes suspect, and content is cleared as
 * soon as any request with it begins to be answered. Crashes count only one after the other: an attempt adds
 * one to those that were known when it was sent. So endpoints that crash together, as after a power loss,
 * count as one, and content that many sound requests share is cleared in between.
 *
 * Contents that were always sent together are quarantined together, though only one of them may be to blame,
 * and what is held back cannot be answered. So while several share their crashes, one request at a time tries
 * one of them without the others.
 * @public
 */
export class ContentQuarantine {
  /** Called when a suspicion changes, by this process or by a merge. */
  onChange: (change: SuspicionChange) => void = () => {};

  readonly #options: Required<ContentQuarantineOptions>;

  /** By content, the least recently changed one first. */
  readonly #records = new Map<string, ContentRecord>();

  constructor(options: ContentQuarantineOptions = {}) {
    this.#options = { ...defaults, ...options };
  }

  /** Number of contents in the table; 0 means that nothing is suspect. */
  get size(): number {
    return this.#records.size;
  }

  /** All suspicions that are not cleared, for an instance that has none yet. */
  get suspicions(): Suspicion[] {
    return [...this.#records]
      .filter(([, { witnesses }]) => witnesses.length > 0)
      .map(([content, { clearances, witnesses }]) => [content, clearances, witnesses]);
  }

  /** The content for which a request may not be sent, if any. A request that may try a content is sent. */
  findQuarantined(contents: readonly string[], now: number): string | undefined {
    const [first, second] = this.#listQuarantined(contents, now);
    if (first === undefined || second !== undefined) return first;
    return this.#isTrialDue(first, now) ? undefined : first;
  }

  /**
   * Records that a request with these contents is sent. If it tries a quarantined content, the trial counts
   * like a crash until it is answered, so that no other request tries it meanwhile. Returns that content.
   */
  startTrial(contents: readonly string[], witness: string, now: number): string | undefined {
    const [content] = this.#listQuarantined(contents, now);
    if (content === undefined) return undefined;
    const { clearances, witnesses } = this.#current(content, now);
    this.#set([content, clearances, [...witnesses, `${TRIAL_PREFIX}${witness}`]], now);
    return content;
  }

  /** What is known of the contents when an attempt is sent, to be passed to `crashed`. */
  suspicionsOf(contents: readonly string[], now: number): Suspicion[] {
    return contents.map((content) => {
      const { clearances, witnesses } = this.#current(content, now);
      return [content, clearances, witnesses];
    });
  }

  /** Records a crash of an endpoint that had not begun to answer an attempt with these contents. */
  crashed(sent: readonly SentContent[], now: number): void {
    const suspicions = sent.map(({ suspicion, witness }): Suspicion => {
      const [content, clearances, witnesses] = suspicion;
      return [content, clearances, [...witnesses, witness]];
    });
    this.merge(suspicions, now);
  }

  /** Records that an endpoint began to answer a request with these contents. */
  answered(contents: readonly string[], now: number): void {
    if (this.size === 0) return;
    for (const content of contents) {
      const { clearances, witnesses } = this.#current(content, now);
      if (witnesses.length > 0) this.#set([content, clearances + 1, []], now);
    }
  }

  /** Merges suspicions of another instance. */
  merge(suspicions: readonly Suspicion[], now: number): void {
    for (const suspicion of suspicions) {
      const [content, clearances, witnesses] = suspicion;
      const known = this.#current(content, now);
      const isNewer =
        clearances > known.clearances ||
        (clearances === known.clearances && witnesses.length > known.witnesses.length);
      if (isNewer) this.#set(suspicion, now);
    }
  }

  #stateOf(record: Pick<ContentRecord, 'witnesses'>): ContentState {
    if (this.#isQuarantined(record)) return 'quarantined';
    return record.witnesses.length > 0 ? 'suspect' : 'cleared';
  }

  #isQuarantined({ witnesses }: Pick<ContentRecord, 'witnesses'>): boolean {
    const { crashes, witnesses: required } = this.#options;
    return witnesses.length >= crashes && new Set(witnesses).size >= required;
  }

  #listQuarantined(contents: readonly string[], now: number): string[] {
    if (this.size === 0) return [];
    return contents.filter((content) => this.#isQuarantined(this.#current(content, now)));
  }

  /** Whether the content may be tried: another quarantined one may be to blame for the same crashes. */
  #isTrialDue(content: string, now: number): boolean {
    const { trialAt, witnesses } = this.#current(content, now);
    if (now < trialAt) return false;
    return [...this.#records].some(([other, record]) => {
      const sharesCrash = (): boolean => record.witnesses.some((item) => witnesses.includes(item));
      return other !== content && this.#isQuarantined(record) && sharesCrash();
    });
  }

  /** The record of a content; after a quarantine has ended, one more crash starts it again. */
  #current(content: string, now: number): ContentRecord {
    const known = this.#records.get(content);
    if (!known) return { clearances: 0, witnesses: [], until: Infinity, trialAt: Infinity };
    if (now < known.until) return known;
    const { crashes, suspectMs } = this.#options;
    const kept = this.#isQuarantined(known) ? crashes - 1 : 0;
    const witnesses = known.witnesses.slice(0, kept);
    const { clearances } = known;
    const current = { clearances, witnesses, until: now + suspectMs, trialAt: Infinity };
    this.#records.set(content, current);
    return current;
  }

  #set([content, clearances, witnesses]: Suspicion, now: number): void {
    const { holdMs, suspectMs, trialMs, capacity } = this.#options;
    const before = this.#stateOf(this.#current(content, now));
    const kept = witnesses.slice(-MAX_CRASHES_KEPT);
    const after = this.#stateOf({ witnesses: kept });
    this.#records.delete(content);
    if (this.#records.size >= capacity && !this.#evict()) return;
    const until = now + (after === 'quarantined' ? holdMs : suspectMs);
    const trials = kept.filter((witness) => witness.startsWith(TRIAL_PREFIX)).length;
    const trialAt = now + trialMs * TRIAL_BACKOFF ** trials;
    this.#records.set(content, { clearances, witnesses: kept, until, trialAt });
    this.onChange({ suspicion: [content, clearances, kept], before, after });
  }

  /** Removes the least recently changed content that is not quarantined; false if there is none. */
  #evict(): boolean {
    for (const [content, record] of this.#records) {
      if (this.#isQuarantined(record)) continue;
      this.#records.delete(content);
      return true;
    }
    return false;
  }
}
