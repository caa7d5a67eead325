/** Bounds of the names of a stream, in UTF-16 code units; stream ids come from callers. */
const MAX_STREAM_LENGTH = 128;
const MAX_POOL_LENGTH = 256;
const MAX_VERSION_LENGTH = 128;

/** A stream: the caller's attempt that brought its first event, and the pool that runs it. @public */
export interface StreamKey {
  readonly stream: string;
  readonly pool: string;
}

/** The software version that began a stream, which never changes. @public */
export interface StreamOrigin extends StreamKey {
  readonly version: string;
  /** Time for which the entry is kept, in milliseconds. */
  readonly keepMs: number;
}

/** An origin in messages and files: stream, pool, version and `keepMs`. @internal */
export type PackedOrigin = readonly [stream: string, pool: string, version: string, keepMs: number];

const isName = (value: unknown, maxLength: number): boolean =>
  typeof value === 'string' && value !== '' && value.length <= maxLength;

/** Whether a value is the key of a stream. @internal */
export const isStreamKey = ({ stream, pool }: Partial<Record<keyof StreamKey, unknown>>): boolean =>
  isName(stream, MAX_STREAM_LENGTH) && isName(pool, MAX_POOL_LENGTH);

/** Whether a value received or read is a packed origin within its bounds. @internal */
export function isPackedOrigin(value: unknown): value is PackedOrigin {
  if (!Array.isArray(value)) return false;
  const [stream, pool, version, keepMs] = value as unknown[];
  return (
    isStreamKey({ stream, pool }) &&
    isName(version, MAX_VERSION_LENGTH) &&
    Number.isFinite(keepMs) &&
    (keepMs as number) > 0
  );
}

/** @internal */
export const packOrigin = ({ stream, pool, version, keepMs }: StreamOrigin): PackedOrigin => [
  stream,
  pool,
  version,
  keepMs,
];

/** @internal */
export const unpackOrigin = ([stream, pool, version, keepMs]: PackedOrigin): StreamOrigin => ({
  stream,
  pool,
  version,
  keepMs,
});
