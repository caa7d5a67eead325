import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';
import fc from 'fast-check';
import { parseAddress, splitAddress } from './address';

const ports = fc.oneof(
  fc.integer({ min: -2, max: 70_000 }).map(String),
  fc.double().map(String),
  fc.string({ maxLength: 6 }),
);
const hosts = fc.oneof(fc.ipV4(), fc.ipV4Extended(), fc.ipV6(), fc.string(), fc.domain());

test('every address that is accepted can be dialled', () => {
  const texts = fc.oneof(
    fc.tuple(hosts, ports).map(([host, port]) => `${host}:${port}`),
    fc.tuple(hosts, ports).map(([host, port]) => `[${host}]:${port}`),
    fc.string({ unit: 'binary' }),
  );
  const property = fc.property(texts, (text) => {
    if (parseAddress(text) === undefined) return;
    const socket = connect({ ...splitAddress(text), lookup: () => assert.fail('a name look-up') });
    socket.on('error', () => {
      // Only the call itself is tested; nothing may listen there.
    });
    socket.destroy();
  });
  fc.assert(property, { numRuns: 2000, seed: 1 });
});

test('IPv4 and bracketed IPv6 addresses with any port from 1 to 65535 are accepted', () => {
  const property = fc.property(
    fc.oneof(
      fc.ipV4(),
      fc.ipV6().map((host) => `[${host}]`),
    ),
    fc.integer({ min: 1, max: 65_535 }),
    (host, port) => parseAddress(`${host}:${port}`) !== undefined,
  );
  fc.assert(property, { seed: 1 });
});
