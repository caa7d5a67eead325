import type { Journal, Timer } from '@berylwood/base';
import type { z } from 'zod';

/** Options of one end of a link. @public */
export interface LinkOptions<In> {
  readonly timer: Timer;
  readonly journal: Journal;
  /** Validates each received message. */
  readonly schema: z.ZodType<In>;
  /** Interval of keep-alive frames, in milliseconds; 1000 by default. */
  readonly keepAliveMs?: number;
  /** Time without received frames after which the link is dropped, in ms; 3000 by default. */
  readonly silenceTimeoutMs?: number;
  /**
   * Minimum time between two frames, in milliseconds; messages sent in between share a frame. By
   * default only messages of the same event-loop tick do.
   */
  readonly batchIntervalMs?: number;
}

/** Contents of the files for mutual TLS. @public */
export interface LinkIdentity {
  readonly certificate: Buffer;
  readonly key: Buffer;
  readonly authority: Buffer;
}

export const DEFAULT_KEEP_ALIVE_INTERVAL_MS = 1000;
export const DEFAULT_SILENCE_TIMEOUT_MS = 3000;

/** Largest frame accepted from the peer; far larger than a snapshot of the configuration. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;
