import { decodeFrame, encodeFrame } from '@berylwood/consensus';
import { Packr, Unpackr } from 'msgpackr';
import { isPackedOrigin, packOrigin, unpackOrigin, type StreamOrigin } from './StreamOrigin';

/** Version of the records in the files. */
const RECORD_VERSION = 1;

/** First bytes of each frame. */
const FRAME_START = Buffer.from('BWLG');

const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

/** Origins read from a file, and the bytes in which none could be read. @internal */
export interface DecodedOrigins {
  readonly origins: readonly StreamOrigin[];
  readonly skippedBytes: number;
  /** Offset of the first byte after the last whole frame. */
  readonly validEnd: number;
}

/** Encodes origins as one checksummed frame. @internal */
export function encodeOrigins(origins: readonly StreamOrigin[]): Buffer {
  return encodeFrame(RECORD_VERSION, packr.pack(origins.map(packOrigin)));
}

function decodeBody(body: Buffer): StreamOrigin[] {
  const packed = unpackr.unpack(body) as unknown;
  return Array.isArray(packed) ? packed.filter(isPackedOrigin).map(unpackOrigin) : [];
}

function findFrameStart(buffer: Buffer, from: number): number {
  const start = buffer.indexOf(FRAME_START, from);
  return start < 0 ? buffer.byteLength : start;
}

/**
 * Decodes all whole frames of a file. A damaged part is skipped: each frame stands by itself, and
 * a failed write may stand before later ones. Frames of a later software version are skipped too.
 * @internal
 */
export function decodeOrigins(bytes: Uint8Array): DecodedOrigins {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const origins: StreamOrigin[] = [];
  let skippedBytes = 0;
  let validEnd = 0;
  let offset = 0;
  while (offset < buffer.byteLength) {
    const frame = decodeFrame(buffer, offset);
    const next = frame?.end ?? findFrameStart(buffer, offset + 1);
    if (frame) validEnd = frame.end;
    if (frame?.version === RECORD_VERSION) origins.push(...decodeBody(frame.body));
    else skippedBytes += next - offset;
    offset = next;
  }
  return { origins, skippedBytes, validEnd };
}
