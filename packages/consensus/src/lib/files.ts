/** Names of the files of a replica, and their order. */

/** Zero-padded width of numbers in file names, so that names sort by number. */
const DIGITS = 15;
const SEGMENT_PATTERN = /^log-(\d+)$/;
const SNAPSHOT_PATTERN = /^snapshot-(\d+)$/;

/** @internal */
export const IDENTITY_FILE = 'identity';

/** @internal */
export const STATE_FILE = 'state';

/** @internal */
export function segmentName(number: number): string {
  return `log-${String(number).padStart(DIGITS, '0')}`;
}

/** @internal */
export function snapshotName(index: number): string {
  return `snapshot-${String(index).padStart(DIGITS, '0')}`;
}

function extractNumbers(names: readonly string[], pattern: RegExp): number[] {
  const numbers = names.flatMap((name) => {
    const digits = pattern.exec(name)?.[1];
    return digits === undefined ? [] : [Number(digits)];
  });
  return numbers.sort((a, b) => a - b);
}

/** Numbers of the segments, ascending. @internal */
export function segmentNumbers(names: readonly string[]): number[] {
  return extractNumbers(names, SEGMENT_PATTERN);
}

/** Indexes of the snapshots, ascending. @internal */
export function snapshotIndexes(names: readonly string[]): number[] {
  return extractNumbers(names, SNAPSHOT_PATTERN);
}
