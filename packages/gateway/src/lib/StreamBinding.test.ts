import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random, VirtualTimer, asId, createSilentJournal } from '@berylwood/base';
import type { StreamKey, StreamOrigin } from '@berylwood/registry';
import type { Attempt } from './Attempt';
import type { Endpoint } from './Endpoint';
import { EndpointDirectory } from './EndpointDirectory';
import type { GatewayContext } from './GatewayContext';
import type { ResolvedRequest } from './resolveRequest';
import { StreamBinding } from './StreamBinding';

const FIRST_POOL = asId<'pool'>('first');
const SECOND_POOL = asId<'pool'>('second');

const TIMEOUT_MS = 10_000;

/** An endpoint as the list names it. */
interface Listed {
  readonly id: string;
  readonly version?: string;
  readonly pool?: typeof FIRST_POOL;
  readonly isDraining?: boolean;
}

interface Setup {
  readonly listed: readonly Listed[];
  /** By pool and stream, what was recorded. */
  readonly recorded?: Readonly<Record<string, string>>;
  /** The only version that began streams of late, if there is one. */
  readonly onlyVersion?: string;
  readonly resumes?: string;
  readonly attempt?: string | undefined;
}

/** Creates the binding of a request to a route with two pools, the first of which was drawn. */
function createBinding({ listed, recorded = {}, onlyVersion, resumes, attempt = 'a-1' }: Setup) {
  const timer = new VirtualTimer();
  const directory = new EndpointDirectory(timer, createSilentJournal(timer), new Random(1));
  const replace = (items: readonly Listed[]): void => {
    directory.replace(
      items.map(({ id, version, pool = FIRST_POOL, isDraining = false }) => ({
        id: asId<'endpoint'>(id),
        pool,
        address: asId<'address'>('127.0.0.1:1'),
        dataCentre: 'a',
        slots: 4,
        isDraining,
        softwareVersion: version === undefined ? undefined : asId<'softwareVersion'>(version),
      })),
    );
  };
  replace(listed);
  const records: StreamOrigin[] = [];
  const searches: StreamKey[] = [];
  const origins: GatewayContext['origins'] = {
    record: async (origin) => {
      records.push(origin);
      return 'durable';
    },
    find: async (key) => {
      searches.push(key);
      return recorded[`${key.pool}/${key.stream}`];
    },
    findOnlyVersion: async (pool) => (pool === FIRST_POOL ? onlyVersion : undefined),
  };
  const resolved = {
    route: {
      kind: 'stream',
      isResumable: true,
      timeoutMs: TIMEOUT_MS,
      targets: [FIRST_POOL, SECOND_POOL].map((pool) => ({ pool, weight: 1 })),
    },
    metadata: { attempt, resumes, resumeAfter: '3' },
    target: FIRST_POOL,
  } as unknown as ResolvedRequest;
  const binding = new StreamBinding({ directory, origins } as GatewayContext, resolved);
  const endpointOf = (id: string): Endpoint =>
    directory.endpoints.find((endpoint) => endpoint.listed.id === id) as Endpoint;
  /** An attempt at an endpoint, with the version that the list names now. */
  const place = (id: string): Attempt => {
    const endpoint = endpointOf(id);
    return { endpoint, softwareVersion: endpoint.listed.softwareVersion } as Attempt;
  };
  /** Ids of the endpoints that may serve the request. */
  const allowed = (): string[] =>
    directory.endpoints
      .filter((endpoint) => binding.allows(endpoint))
      .map(({ listed: { id } }) => id);
  return { binding, replace, place, allowed, records, searches };
}

const TWO_VERSIONS = [
  { id: 'a', version: 'v1' },
  { id: 'b', version: 'v1' },
  { id: 'c', version: 'v2' },
];

// Guards against a new stream that is bound before anything of it is known.
test('a new stream may begin anywhere, and goes on only at the version of its first event', async () => {
  const { binding, place, allowed, records } = createBinding({ listed: TWO_VERSIONS });
  assert.deepEqual(allowed(), ['a', 'b', 'c']);
  assert.equal(await binding.begin(place('a')), 'durable');
  assert.deepEqual(allowed(), ['a', 'b']);
  assert.ok(binding.hasEndpoint(new Set(['a'])));
  assert.equal(binding.hasEndpoint(new Set(['a', 'b'])), false);
  const keepMs = 2 * TIMEOUT_MS;
  assert.deepEqual(records, [{ stream: 'a-1', pool: 'first', version: 'v1', keepMs }]);
});

// Guards against a second attempt that binds the stream anew.
test('the first event of a later attempt changes nothing', async () => {
  const { binding, place, allowed, records } = createBinding({ listed: TWO_VERSIONS });
  await binding.begin(place('a'));
  assert.equal(binding.begin(place('c')), undefined);
  assert.deepEqual(allowed(), ['a', 'b']);
  assert.equal(records.length, 1);
});

for (const resumes of ['a-1', undefined]) {
  // Guards against a take-up that goes on at any version because its own is not known.
  test(`a take-up of ${resumes ?? 'no stream'} whose version is unknown goes on nowhere`, async () => {
    const { binding, allowed } = createBinding({
      listed: TWO_VERSIONS,
      ...(resumes !== undefined && { resumes }),
    });
    assert.equal(await binding.find(), undefined);
    assert.deepEqual(allowed(), []);
    assert.equal(binding.hasEndpoint(new Set()), false);
    assert.match(binding.describe(), /version unknown/);
  });
}

// Guards against a refusal where the caller names no attempt and nothing but one version can have begun its stream.
test('a take-up that names no attempt goes on where one version serves and has served', async () => {
  const onlyV1 = TWO_VERSIONS.slice(0, 2);
  const known = createBinding({ listed: onlyV1, onlyVersion: 'v1' });
  assert.equal(await known.binding.find(), FIRST_POOL);
  assert.deepEqual(known.allowed(), ['a', 'b']);
});

// Guards against another version that goes on with a stream whose caller names no attempt.
test('a take-up that names no attempt goes on nowhere if two versions serve or have served', async () => {
  const draining = { id: 'd', version: 'v2', isDraining: true };
  for (const { listed, onlyVersion } of [
    { listed: TWO_VERSIONS, onlyVersion: 'v1' },
    { listed: [...TWO_VERSIONS.slice(0, 2), draining], onlyVersion: 'v1' },
    { listed: TWO_VERSIONS.slice(0, 2), onlyVersion: 'v0' },
    { listed: [{ id: 'a' }], onlyVersion: 'v1' },
    { listed: TWO_VERSIONS.slice(0, 2) },
  ] satisfies { listed: Listed[]; onlyVersion?: string }[]) {
    const { binding, allowed } = createBinding({
      listed,
      ...(onlyVersion !== undefined && { onlyVersion }),
    });
    assert.equal(await binding.find(), undefined);
    assert.deepEqual(allowed(), []);
  }
});

// Guards against a search in the pool that the weights drew this time.
test('a take-up goes on in the pool in which its stream began', async () => {
  const { binding, allowed, searches } = createBinding({
    listed: [
      { id: 'a', version: 'v1' },
      { id: 'b', version: 'v2', pool: SECOND_POOL },
    ],
    recorded: { 'second/a-1': 'v2' },
    resumes: 'a-1',
  });
  assert.equal(await binding.find(), SECOND_POOL);
  assert.deepEqual(
    searches.map(({ pool, stream }) => `${pool}/${stream}`),
    ['first/a-1', 'second/a-1'],
  );
  assert.deepEqual(allowed(), ['b']);
  assert.ok(binding.hasEndpoint(new Set()));
  assert.equal(binding.hasEndpoint(new Set(['b'])), false);
});

// Guards against an endpoint of the version in the other pool that counts for the pool of the stream.
test('an endpoint of the version in another pool does not continue the stream', async () => {
  const { binding } = createBinding({
    listed: [
      { id: 'a', version: 'v1' },
      { id: 'b', version: 'v2', pool: SECOND_POOL },
    ],
    recorded: { 'second/a-1': 'v1' },
    resumes: 'a-1',
  });
  await binding.find();
  assert.equal(binding.hasEndpoint(new Set()), false);
});

// Guards against a version that the endpoint had when the request was placed, but not when it answered.
test('a stream whose endpoint is listed with another version before its first event is bound to none', async () => {
  const { binding, replace, place, allowed, records } = createBinding({ listed: TWO_VERSIONS });
  const attempt = place('a');
  replace([{ id: 'a', version: 'v2' }, ...TWO_VERSIONS.slice(1)]);
  assert.equal(binding.begin(attempt), undefined);
  assert.deepEqual(records, []);
  assert.deepEqual(allowed(), []);
});

// Guards against an endpoint that has left the list and whose stream then counts as unknown.
test('a stream whose endpoint has left the list before its first event keeps its version', async () => {
  const { binding, replace, place, allowed } = createBinding({ listed: TWO_VERSIONS });
  const attempt = place('a');
  replace(TWO_VERSIONS.slice(1));
  assert.equal(await binding.begin(attempt), 'durable');
  assert.deepEqual(allowed(), ['b']);
});

// Guards against all endpoints of a list without versions counting as one version.
test('a stream of a list without versions begins, is not recorded and goes on nowhere', async () => {
  const { binding, place, allowed, records } = createBinding({
    listed: [{ id: 'a' }, { id: 'b' }],
  });
  assert.deepEqual(allowed(), ['a', 'b']);
  assert.equal(binding.begin(place('a')), undefined);
  assert.deepEqual(records, []);
  assert.deepEqual(allowed(), []);
});

// Guards against a departing endpoint that is counted as one that may continue the stream.
test('a draining endpoint of the version does not continue the stream', async () => {
  const { binding } = createBinding({
    listed: [
      { id: 'a', version: 'v1', isDraining: true },
      { id: 'c', version: 'v2' },
    ],
    recorded: { 'first/a-1': 'v1' },
    resumes: 'a-1',
  });
  assert.equal(await binding.find(), FIRST_POOL);
  assert.equal(binding.hasEndpoint(new Set()), false);
});
