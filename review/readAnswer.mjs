import { Buffer } from 'node:buffer';

const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';

function readHead(bytes) {
  const end = bytes.indexOf(HEAD_END);
  if (end < 0) return undefined;
  const [first, ...lines] = bytes.subarray(0, end).toString('latin1').split(LINE_END);
  const headers = Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  return { status: Number(first.split(' ')[1]), headers, bodyAt: end + HEAD_END.length };
}

function readChunks(bytes) {
  const parts = [];
  let at = 0;
  for (;;) {
    const lineEnd = bytes.indexOf(LINE_END, at);
    if (lineEnd < 0) return { body: Buffer.concat(parts), isWhole: false };
    const size = Number.parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16);
    const from = lineEnd + LINE_END.length;
    if (size === 0) return { body: Buffer.concat(parts), isWhole: true };
    parts.push(bytes.subarray(from, from + size));
    at = from + size + LINE_END.length;
    if (bytes.length < at) return { body: Buffer.concat(parts), isWhole: false };
  }
}

/**
 * Reads an answer as HTTP/1.1 frames it (RFC 9112, section 6.3): by chunks, by its length, or by the end
 * of the connection. An answer without a length is whole once the peer has closed the connection, unless
 * it has reset it.
 */
export function readAnswer(bytes, { isClosed }) {
  const head = readHead(bytes);
  if (!head) return { status: 0, headers: {}, body: '', isWhole: false };
  const { status, headers, bodyAt } = head;
  const rest = bytes.subarray(bodyAt);
  if (/chunked/i.test(headers['transfer-encoding'] ?? '')) {
    const { body, isWhole } = readChunks(rest);
    return { status, headers, body: body.toString(), isWhole };
  }
  const { 'content-length': length } = headers;
  const isWhole = length === undefined ? isClosed : rest.length >= Number(length);
  return { status, headers, body: rest.toString(), isWhole };
}
