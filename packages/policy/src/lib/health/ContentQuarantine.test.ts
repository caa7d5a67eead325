import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { ContentQuarantine, type SentContent, type Suspicion } from './ContentQuarantine';

/** What is known of a request when it is sent; the request is its own witness unless one is given. */
function send(quarantine: ContentQuarantine, contents: string[], witness?: string): SentContent[] {
  const suspicions = quarantine.suspicionsOf(contents, 0);
  return suspicions.map((suspicion) => ({ suspicion, witness: witness ?? contents.join() }));
}

/** Sends requests with these contents, one for each endpoint, which all crash before they answer. */
function crash(quarantine: ContentQuarantine, requests: readonly string[][]): void {
  const sent = requests.map((contents) => send(quarantine, contents));
  for (const contents of sent) quarantine.crashed(contents, 0);
}

/** Quarantines a content by three requests that have nothing else in common. */
function quarantineContent(quarantine: ContentQuarantine, content: string): void {
  for (const own of ['1', '2', '3']) crash(quarantine, [[content, own]]);
}

test('the part that requests share is quarantined, though no two of them are alike', () => {
  const quarantine = new ContentQuarantine();
  for (const own of ['a', 'b', 'c']) {
    assert.equal(quarantine.findQuarantined(['shared', 'deadly'], 0), undefined);
    crash(quarantine, [['shared', 'deadly', own]]);
    quarantine.answered(['shared', 'sound'], 0);
  }
  assert.equal(quarantine.findQuarantined(['shared', 'deadly', 'd'], 0), 'deadly');
  assert.equal(quarantine.findQuarantined(['shared', 'sound', 'a'], 0), undefined);
});

test('parts of one request that is repeated are not quarantined, but the request is', () => {
  const quarantine = new ContentQuarantine();
  for (const attempt of ['first', 'second', 'third']) {
    const parts = send(quarantine, ['part', 'other'], 'request');
    quarantine.crashed([...parts, ...send(quarantine, ['whole'], attempt)], 0);
  }
  assert.equal(quarantine.findQuarantined(['part', 'other'], 0), undefined);
  assert.equal(quarantine.findQuarantined(['part', 'other', 'whole'], 0), 'whole');
});

test('a repeat of one request and another one are enough to quarantine what both share', () => {
  const quarantine = new ContentQuarantine();
  quarantine.crashed(send(quarantine, ['deadly', 'rare'], 'first'), 0);
  quarantine.crashed(send(quarantine, ['deadly', 'rare'], 'first'), 0);
  assert.equal(quarantine.findQuarantined(['deadly', 'rare'], 0), undefined);
  quarantine.crashed(send(quarantine, ['deadly', 'other'], 'second'), 0);
  assert.equal(quarantine.findQuarantined(['rare', 'other', 'deadly'], 0), 'deadly');
});

test('content in endpoints that crash together is not quarantined', () => {
  const quarantine = new ContentQuarantine();
  const requests = ['a', 'b', 'c', 'd'].map((own) => ['shared', own]);
  crash(quarantine, requests);
  assert.equal(quarantine.findQuarantined(['shared'], 0), undefined);
  crash(quarantine, requests);
  assert.equal(quarantine.findQuarantined(['shared'], 0), undefined);
});

test('an answer that begins clears content, also in quarantine', () => {
  const quarantine = new ContentQuarantine();
  quarantineContent(quarantine, 'sound');
  assert.equal(quarantine.findQuarantined(['sound'], 0), 'sound');
  quarantine.answered(['sound'], 0);
  assert.equal(quarantine.findQuarantined(['sound'], 0), undefined);
});

test('a crash that was sent before content was cleared is no evidence against it', () => {
  const quarantine = new ContentQuarantine();
  crash(quarantine, [['sound']]);
  const sent = send(quarantine, ['sound'], 'other');
  quarantine.answered(['sound'], 0);
  quarantine.crashed(sent, 0);
  assert.deepEqual(quarantine.suspicions, []);
});

test('after a quarantine one more crash starts it again', () => {
  const quarantine = new ContentQuarantine({ holdMs: 1000 });
  quarantineContent(quarantine, 'deadly');
  assert.equal(quarantine.findQuarantined(['deadly'], 999), 'deadly');
  assert.equal(quarantine.findQuarantined(['deadly'], 1000), undefined);
  const [suspicion] = quarantine.suspicionsOf(['deadly'], 1000);
  assert.ok(suspicion);
  quarantine.crashed([{ suspicion, witness: 'later' }], 1000);
  assert.equal(quarantine.findQuarantined(['deadly'], 1000), 'deadly');
});

test('a full table keeps what is quarantined', () => {
  const quarantine = new ContentQuarantine({ capacity: 3 });
  quarantineContent(quarantine, 'deadly');
  for (const content of ['a', 'b', 'c', 'd']) crash(quarantine, [[content]]);
  assert.equal(quarantine.size, 3);
  assert.equal(quarantine.findQuarantined(['deadly'], 0), 'deadly');
});

test('instances agree in whatever order suspicions arrive, also repeated', () => {
  const witnesses = fc.array(fc.constantFrom('1', '2', '3'), { maxLength: 5 });
  const suspicion = fc.tuple(fc.constantFrom('a', 'b'), fc.nat(3), witnesses);
  const stateOf = (quarantine: ContentQuarantine) =>
    quarantine
      .suspicionsOf(['a', 'b'], 0)
      .map(([, clearances, { length }]) => [clearances, length]);
  fc.assert(
    fc.property(fc.array(suspicion), fc.infiniteStream(fc.nat()), (suspicions, random) => {
      const shuffled = suspicions
        .map((item): [number, Suspicion] => [random.next().value as number, item])
        .sort(([a], [b]) => a - b)
        .map(([, item]) => item);
      const one = new ContentQuarantine();
      const other = new ContentQuarantine();
      one.merge(suspicions, 0);
      other.merge([...shuffled, ...shuffled], 0);
      assert.deepEqual(stateOf(one), stateOf(other));
    }),
    { seed: 27 },
  );
});

const DEADLY = 'deadly';
const SOUND = ['sound-1', 'sound-2'];

/** Sends requests with the contents once a second; the deadly content crashes the endpoint. */
function sendEachSecond(
  quarantine: ContentQuarantine,
  contents: readonly string[],
  { from, seconds }: { readonly from: number; readonly seconds: number },
): { readonly crashes: number; readonly answers: number } {
  let crashes = 0;
  let answers = 0;
  for (let now = from; now < from + seconds * 1000; now += 1000) {
    if (quarantine.findQuarantined(contents, now) !== undefined) continue;
    const witness = `request-${contents.join()}-${now}`;
    const sent = quarantine.suspicionsOf(contents, now);
    quarantine.startTrial(contents, witness, now);
    if (contents.includes(DEADLY)) {
      crashes += 1;
      quarantine.crashed(
        sent.map((suspicion) => ({ suspicion, witness })),
        now,
      );
    } else {
      answers += 1;
      quarantine.answered(contents, now);
    }
  }
  return { crashes, answers };
}

test('sound parts that always came with a deadly one do not stay quarantined', () => {
  const quarantine = new ContentQuarantine();
  const together = sendEachSecond(quarantine, [DEADLY, ...SOUND], { from: 0, seconds: 10 });
  assert.equal(together.crashes, 3);
  for (const part of SOUND) {
    const alone = sendEachSecond(quarantine, [part], { from: 10_000, seconds: 10 });
    assert.ok(alone.answers >= 9, `${part} is answered ${alone.answers} times`);
  }
  const deadly = sendEachSecond(quarantine, [DEADLY, 'other'], { from: 20_000, seconds: 60 });
  assert.equal(deadly.crashes, 0, 'the only part left is not tried');
});

test('a deadly part that is tried since others are suspect too crashes few endpoints', () => {
  const quarantine = new ContentQuarantine();
  sendEachSecond(quarantine, [DEADLY, ...SOUND], { from: 0, seconds: 10 });
  const { crashes } = sendEachSecond(quarantine, [DEADLY, 'other'], { from: 10_000, seconds: 60 });
  assert.ok(crashes >= 1 && crashes <= 3, `${crashes} crashes`);
});

test('crashes beyond those of the quarantine do not delay the first trial of a sound part', () => {
  const quarantine = new ContentQuarantine();
  const together = [DEADLY, ...SOUND];
  const inFlight = Array.from({ length: 5 }, (_, at) => send(quarantine, together, `first-${at}`));
  sendEachSecond(quarantine, together, { from: 0, seconds: 5 });
  const later = quarantine.suspicionsOf(together, 5000);
  quarantine.crashed(
    later.map((suspicion) => ({ suspicion, witness: 'late' })),
    5000,
  );
  for (const contents of inFlight) quarantine.crashed(contents, 5000);
  const { answers } = sendEachSecond(quarantine, ['sound-1'], { from: 6000, seconds: 10 });
  assert.ok(answers >= 7, `${answers} answers`);
});
