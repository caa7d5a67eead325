import { EntryKind } from './Entry';
import type { Message, MessageBody } from './Message';

type Predicate = (value: unknown) => boolean;

type Shape = Readonly<Record<string, Predicate>>;

const isNumber: Predicate = (value) => typeof value === 'number' && !Number.isNaN(value);
const isString: Predicate = (value) => typeof value === 'string';
const isBoolean: Predicate = (value) => typeof value === 'boolean';
const isBytes: Predicate = (value) => value instanceof Uint8Array;

/** Whether a value is a valid index, term, offset or size. */
const isCount: Predicate = (value) => Number.isSafeInteger(value) && (value as number) >= 0;

function hasShape(shape: Shape): Predicate {
  return (value) => {
    if (typeof value !== 'object' || value === null) return false;
    const record = value as Record<string, unknown>;
    return Object.entries(shape).every(([name, check]) => check(record[name]));
  };
}

const isStamp = hasShape({ mono: isNumber, wall: isNumber });
const isIdentity = hasShape({ replica: isString, incarnation: isString });
const isKind: Predicate = (value) => typeof value === 'number' && EntryKind[value] !== undefined;
const isEntry = hasShape({ index: isCount, term: isCount, kind: isKind, data: isBytes });
const isEntries: Predicate = (value) => Array.isArray(value) && value.every(isEntry);
const isSilence = hasShape({ incarnation: isString, silenceMs: isNumber });
const isSilences: Predicate = (value) =>
  value === undefined || (Array.isArray(value) && value.every(isSilence));
const isContact = hasShape({ replica: isString, address: isString });
const isContacts: Predicate = (value) => Array.isArray(value) && value.every(isContact);

/** Fields of each message type, apart from `type` itself. */
const BODY_SHAPES: Readonly<Record<MessageBody['type'], Shape>> = {
  preVote: { nextTerm: isCount, lastIndex: isCount, lastTerm: isCount },
  preVoteReply: { nextTerm: isCount, granted: isBoolean },
  vote: { lastIndex: isCount, lastTerm: isCount, transferOf: isCount },
  voteReply: { granted: isBoolean, leaseRemainingMs: isNumber },
  append: {
    prevIndex: isCount,
    prevTerm: isCount,
    entries: isEntries,
    commitIndex: isCount,
    stamp: isStamp,
    silences: isSilences,
  },
  appendReply: { accepted: isBoolean, match: isCount, hint: isCount, stamp: isStamp },
  snapshotChunk: {
    index: isCount,
    indexTerm: isCount,
    offset: isCount,
    totalBytes: isCount,
    data: isBytes,
    stamp: isStamp,
  },
  snapshotReply: { index: isCount, nextOffset: isCount, stamp: isStamp },
  timeoutNow: {},
  join: { address: isString },
  joinReply: { hasGroup: isBoolean, members: isContacts },
};

const isBody: Predicate = (value) => {
  const type = (value as Partial<MessageBody> | null | undefined)?.type;
  return (
    type !== undefined && Object.hasOwn(BODY_SHAPES, type) && hasShape(BODY_SHAPES[type])(value)
  );
};

const isEnvelope = hasShape({
  group: isString,
  from: isIdentity,
  to: isIdentity,
  term: isCount,
  body: isBody,
});

/**
 * Whether a value received from another process has the shape of a message. A transport checks
 * this before it passes the value on.
 * @public
 */
export function isMessage(value: unknown): value is Message {
  return isEnvelope(value);
}
