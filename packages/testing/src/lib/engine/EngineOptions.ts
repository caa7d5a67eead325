import type { Timer } from '@berylwood/base';

/** Options of a stand-in engine. @public */
export interface EngineOptions {
  readonly listen: string;
  readonly name: string;
  readonly models: readonly string[];
  /** Streams that generate at a time. */
  readonly slots: number;
  /** Prompt tokens read a second. */
  readonly prefillRate: number;
  /** Tokens generated a second by each stream when it runs alone. */
  readonly decodeRate: number;
  /** Slowdown of each stream by each further one; 0 by default. */
  readonly batchSlowdown?: number;
  /** Blocks of 64 tokens that the prefix cache holds; 1024 by default. */
  readonly cacheBlocks?: number;
  /** Time until a cache event can be read, in milliseconds; 500 by default. */
  readonly cacheEventDelayMs?: number;
  /** Share of the cache events that are lost; none by default. */
  readonly cacheEventLoss?: number;
  /** Age of the figures in load reports, in milliseconds; 0 by default. */
  readonly loadLagMs?: number;
  /** Whether orders with an old fencing number are refused; not by default. */
  readonly checksFence?: boolean;
  /** A prompt with this text crashes the engine. */
  readonly crashMark?: string;
  /** File that the history is appended to. */
  readonly history?: string;
  readonly seed?: number;
  readonly timer?: Timer;
  /** Called on a crash; ends the process by default. */
  readonly onCrash?: () => void;
}
