import { crc32 } from 'node:zlib';

/** Magic number at the start of each frame: "BWLG" in ASCII. */
const MAGIC = 0x42574c47;

/** Magic, version, two reserved bytes, body length, body checksum, header checksum. */
const HEADER_BYTES = 20;
const VERSION_OFFSET = 4;
const LENGTH_OFFSET = 8;
const BODY_CHECKSUM_OFFSET = 12;
const HEADER_CHECKSUM_OFFSET = 16;

/** A versioned and checksummed record in a file. @public */
export interface Frame {
  readonly version: number;
  readonly body: Buffer;
  /** File offset of the first byte after the frame. */
  readonly end: number;
}

/** Encodes a body with its version and checksums. @public */
export function encodeFrame(version: number, body: Uint8Array): Buffer {
  const frame = Buffer.alloc(HEADER_BYTES + body.byteLength);
  frame.writeUInt32BE(MAGIC, 0);
  frame.writeUInt16BE(version, VERSION_OFFSET);
  frame.writeUInt32BE(body.byteLength, LENGTH_OFFSET);
  frame.writeUInt32BE(crc32(body), BODY_CHECKSUM_OFFSET);
  const header = frame.subarray(0, HEADER_CHECKSUM_OFFSET);
  frame.writeUInt32BE(crc32(header), HEADER_CHECKSUM_OFFSET);
  frame.set(body, HEADER_BYTES);
  return frame;
}

/** Decodes the frame at an offset; undefined if it is incomplete or corrupt. @public */
export function decodeFrame(bytes: Uint8Array, offset: number): Frame | undefined {
  const rest = Buffer.from(bytes.buffer, bytes.byteOffset + offset, bytes.byteLength - offset);
  if (rest.byteLength < HEADER_BYTES || rest.readUInt32BE(0) !== MAGIC) return undefined;
  const header = rest.subarray(0, HEADER_CHECKSUM_OFFSET);
  if (rest.readUInt32BE(HEADER_CHECKSUM_OFFSET) !== crc32(header)) return undefined;
  const length = rest.readUInt32BE(LENGTH_OFFSET);
  if (rest.byteLength < HEADER_BYTES + length) return undefined;
  const body = rest.subarray(HEADER_BYTES, HEADER_BYTES + length);
  if (rest.readUInt32BE(BODY_CHECKSUM_OFFSET) !== crc32(body)) return undefined;
  const version = rest.readUInt16BE(VERSION_OFFSET);
  return { version, body, end: offset + HEADER_BYTES + length };
}

/** Whether a complete frame starts anywhere after the offset. @internal */
export function hasCompleteFrameAfter(bytes: Uint8Array, offset: number): boolean {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const magic = Buffer.alloc(4);
  magic.writeUInt32BE(MAGIC, 0);
  let position = buffer.indexOf(magic, offset + 1);
  while (position >= 0) {
    if (decodeFrame(bytes, position)) return true;
    position = buffer.indexOf(magic, position + 1);
  }
  return false;
}
