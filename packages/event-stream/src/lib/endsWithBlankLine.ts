/** Two ends of lines at the end of a text; the LF of a CR LF ends no line of its own. */
const BLANK_LINE = /(?:\r\n|\n|\r(?!\n)){2}$/;

/** Bytes that the longest blank line and the end of the line before it have. @public */
export const BLANK_LINE_BYTES = 4;

/** Whether the bytes of a stream end with a blank line, so that another block can follow. @public */
export function endsWithBlankLine(bytes: Uint8Array): boolean {
  return BLANK_LINE.test(Buffer.from(bytes.subarray(-BLANK_LINE_BYTES)).toString('latin1'));
}
