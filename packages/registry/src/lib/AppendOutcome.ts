/**
 * What became of an entry: on the disk, in memory only, or refused as the stream has another version.
 * @internal
 */
export type AppendOutcome = 'synced' | 'held' | 'conflict';
