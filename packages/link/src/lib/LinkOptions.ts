import type { Journal, Timer } from '@berylwood/base';
import type { z } from 'zod';

/** Options of one end of a link. @public */
export interface LinkOptions<In> {
  readonly timer: Timer;
  readonly journal: Journal;
  /** Validates each message that arrives. */
  readonly schema: z.ZodType<In>;
  /** Interval of keep-alive messages, in milliseconds; 1000 by default. */
  readonly keepAliveMs?: number;
  /** Silence after which the connection is dropped, in milliseconds; 3000 by default. */
  readonly silenceTimeoutMs?: number;
  /**
   * Least time between two frames, in milliseconds: messages meanwhile share a frame. By default
   * only those of one tick do.
   */
  readonly batchIntervalMs?: number;
}

/** Files of a mutual TLS identity. @public */
export interface LinkIdentity {
  readonly certificate: Buffer;
  readonly key: Buffer;
  readonly authority: Buffer;
}

export const DEFAULT_KEEP_ALIVE_INTERVAL_MS = 1000;
export const DEFAULT_SILENCE_TIMEOUT_MS = 3000;

/** Largest frame accepted from the other end: a snapshot of the configuration fits well. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;
