import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualTimer, createSilentJournal, fail } from '@berylwood/base';
import type { Link } from '@berylwood/link';
import { ok } from 'neverthrow';
import { registryCodes } from './codes';
import { ConfigurationFetcher } from './ConfigurationFetcher';
import type { AcceptorMessage, DialerMessage } from './MeshMessage';
import type { StoredConfiguration } from './RegistryMachine';

/** Rate of the link, in bytes per millisecond: 7 Mbit/s. */
const LINK_BYTES_PER_MS = 875;

/** Fetches a configuration over a link of a limited rate; undefined if it does not arrive in time. */
async function fetchThrough(bytes: number): Promise<number | undefined> {
  const timer = new VirtualTimer();
  const call = (_message: DialerMessage, timeoutMs: number) =>
    Promise.resolve(
      bytes / LINK_BYTES_PER_MS <= timeoutMs
        ? ok({ version: 7, body: new Uint8Array(bytes) })
        : fail(registryCodes.replicaClosed, 'no reply in time'),
    );
  const link = { peer: 'peer', call } as unknown as Link<DialerMessage, AcceptorMessage>;
  const fetched: StoredConfiguration[] = [];
  const fetcher = new ConfigurationFetcher(createSilentJournal(timer), (configuration) =>
    fetched.push(configuration),
  );
  await fetcher.fetch(link, bytes);
  return fetched[0]?.body.byteLength;
}

// Guards against a configuration that never arrives, since each fetch ends before the link has brought it.
test('a configuration of any allowed size is fetched over a slow link', async () => {
  for (const bytes of [1000, 500_000, 1_000_000, 6 * 1024 * 1024])
    assert.equal(await fetchThrough(bytes), bytes);
});
