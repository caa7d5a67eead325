import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random, VirtualTimer, asId, createSilentJournal } from '@berylwood/base';
import { ok } from 'neverthrow';
import { EndpointDirectory } from './EndpointDirectory';
import { EndpointListReader } from './EndpointListReader';
import { PlatformCalls, type ListedEndpoint } from './Wire';

function endpoint(id: string): ListedEndpoint {
  return {
    id: asId<'endpoint'>(id),
    pool: asId<'pool'>('pool'),
    address: asId<'address'>('127.0.0.1:1'),
    dataCentre: 'a',
    slots: 4,
    isDraining: false,
  };
}

class CountingPlatform extends PlatformCalls {
  calls = 0;

  override async listEndpoints() {
    this.calls += 1;
    return ok({ endpoints: [endpoint('e-1')], unreadable: 0, nextToken: undefined });
  }

  override async reportUsage() {
    return ok(undefined);
  }
}

function createReader(isReader: boolean) {
  const timer = new VirtualTimer();
  const journal = createSilentJournal(timer);
  const directory = new EndpointDirectory(timer, journal, new Random(1));
  const platform = new CountingPlatform();
  const published: (readonly ListedEndpoint[])[] = [];
  const reader = new EndpointListReader({
    platform,
    directory,
    timer,
    journal,
    callsPerS: 42,
    instances: () => 7,
    isReader: () => isReader,
    publish: (listed) => published.push(listed),
  });
  return { timer, directory, platform, published, reader };
}

async function advance(timer: VirtualTimer, ms: number): Promise<void> {
  for (let step = 0; step < ms / 100; step += 1) {
    timer.advance(100);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

test('the reader reads the list about once a second and publishes it', async () => {
  const { timer, platform, published, reader } = createReader(true);
  reader.open();
  await advance(timer, 10_000);
  assert.ok(platform.calls >= 8 && platform.calls <= 12, `${platform.calls} calls`);
  assert.equal(published.length, platform.calls);
});

test('an instance that receives the list does not read it', async () => {
  const { timer, platform, directory, reader } = createReader(false);
  reader.receive([endpoint('e-2')]);
  reader.open();
  for (let second = 0; second < 10; second += 1) {
    await advance(timer, 1000);
    reader.receive([endpoint('e-2')]);
  }
  assert.equal(platform.calls, 0);
  assert.equal(directory.endpointsOf(asId<'pool'>('pool')).length, 1);
});

test('an instance that receives no list reads it well within the drain of an endpoint', async () => {
  const { timer, platform, directory, reader } = createReader(false);
  reader.receive([endpoint('e-2')]);
  reader.open();
  await advance(timer, 2000);
  assert.equal(platform.calls, 1);
  assert.equal(directory.endpointsOf(asId<'pool'>('pool'))[0]?.listed.id, 'e-1');
});

test('an invalid list is ignored', () => {
  const { directory, reader } = createReader(false);
  reader.receive([{ id: 'e-1' }]);
  assert.equal(directory.isLoaded, false);
});
