const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Number of bytes before a slice that may begin an empty line which ends inside the slice. @internal */
export const MAX_HEAD_END_TAIL = 2;

/**
 * Returns the position after the first empty line in a slice, which is where a message's head may end; -1 without
 * one.
 * @param tail - the bytes before the slice, as far as they may belong to the empty line.
 * @internal
 */
export function findHeadEnd(tail: Buffer, bytes: Buffer): number {
  const at = (index: number): number | undefined =>
    index < 0 ? tail[tail.length + index] : bytes[index];
  let end = bytes.indexOf(LINE_FEED);
  while (end >= 0) {
    const before = at(end - 1);
    const isEmptyLine =
      before === LINE_FEED || (before === CARRIAGE_RETURN && at(end - 2) === LINE_FEED);
    if (isEmptyLine) return end + 1;
    end = bytes.indexOf(LINE_FEED, end + 1);
  }
  return -1;
}
