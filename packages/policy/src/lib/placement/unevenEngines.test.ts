import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { test } from 'node:test';
import { createEngineCases } from '../../fixtures/engineCases';
import { UnevenFleet, createUnevenOptions } from '../../fixtures/UnevenFleet';
import { chooseEndpoint, rankByHash } from './chooseEndpoint';
import {
  DEFAULT_ENGINE_OPTIONS,
  chooseEngine,
  type EngineView,
  type PromptCost,
} from './chooseEngine';

const CASES = createEngineCases(1, 5000);

/** Digest of the choices that were made for these cases before engines could be uneven. */
const DIGEST = 'd1650cf4b4fb7ebad3c75734209eb0e44b2c4034ef50386ce5cd833fa2616d38';

const CHAT: PromptCost = {
  sharedPart: undefined,
  sharedTokens: 0,
  ownTokens: 2000,
  answerTokens: 50,
};

function digestOf(change: (view: EngineView, at: number) => EngineView): string {
  const choices = CASES.map(({ views, prompt, draw }) => {
    const choice = chooseEngine(views.map(change), prompt, draw, {
      ...DEFAULT_ENGINE_OPTIONS,
      prefillFactor: 1,
    });
    return `${choice?.view.key} ${choice?.tokens} ${choice?.prefillMs}`;
  });
  return createHash('sha256').update(choices.join('\n')).digest('hex');
}

function createViews(speeds: readonly number[]): EngineView[] {
  return speeds.map((speed, at) => ({
    key: `e-${at}`,
    queuedTokens: 0,
    running: 0,
    slots: 64,
    isLocal: true,
    speed,
  }));
}

// Guards against changed choices on deployments whose engines are even and as their data sheet says.
test('without figures, and with figures close to 1, the choices are those of before', () => {
  assert.equal(
    digestOf((view) => view),
    DIGEST,
  );
  assert.equal(
    digestOf((view, at) => ({
      ...view,
      speed: [0.86, 1, 1.14][at % 3],
      momentary: [1, 1.14, 0.86][at % 3],
    })),
    DIGEST,
  );
});

// Guards against a constant part of the cost that does not follow the factor, so that queues weigh wrongly.
test('a learnt factor scales the expected time, and leaves that of the data sheet', () => {
  const [engine] = createViews([2]);
  const options = { ...DEFAULT_ENGINE_OPTIONS, prefillFactor: 3 };
  const choice = chooseEngine([engine as EngineView], CHAT, 0, options);
  const dataSheetMs = (2000 * 15.5) / 1024;
  assert.equal(choice?.prefillMs, dataSheetMs);
  assert.equal(choice?.expectedMs, (dataSheetMs * 3) / 2);
});

// Guards against an equal division of the cached parts over uneven engines, which overloads the slow ones.
test('shared parts prefer engines in proportion to their speeds', () => {
  const views = createViews([0.6, 1, 1.6, 1]);
  const counts = new Map<string, number>();
  for (let part = 0; part < 8000; part += 1) {
    const [first] = rankByHash(views, `part-${part}`, 1);
    counts.set(first?.key ?? '', (counts.get(first?.key ?? '') ?? 0) + 1);
  }
  for (const { key, speed = 1 } of views) {
    const share = ((counts.get(key) ?? 0) / 8000) * (4.2 / speed);
    assert.ok(share > 0.93 && share < 1.07, `${key} ${share}`);
  }
});

// Guards against a loss of the caches of all engines when the speed of one is learnt.
test('a change of one speed moves few shared parts', () => {
  const before = createViews([1.2, 1, 1, 0.8, 1, 1, 1, 1]);
  const after = createViews([1.3, 1, 1, 0.8, 1, 1, 1, 1]);
  const moved = Array.from({ length: 4000 }, (_, part) => `part-${part}`).filter(
    (part) => rankByHash(before, part, 1)[0]?.key !== rankByHash(after, part, 1)[0]?.key,
  );
  assert.ok(moved.length < 4000 * 0.02, `${moved.length}`);
});

// Guards against requests that wait for a slot because the engines drawn for them are full.
test('on an uneven pool, no request goes to a full engine while others have free slots', () => {
  for (let turn = 0; turn < 200; turn += 1) {
    const views = createViews(Array.from({ length: 12 }, () => 1.6)).map((view, at) =>
      at === 5 ? view : { ...view, running: 64 },
    );
    assert.equal(chooseEngine(views, CHAT, turn / 200)?.view.key, 'e-5');
  }
});

test('an engine that is slow at this moment is avoided by prompts without a shared part', () => {
  const views = createViews([1, 1, 1, 1]).map((view, at) =>
    at === 0 ? { ...view, momentary: 2.5 } : view,
  );
  for (let turn = 0; turn < 100; turn += 1)
    assert.notEqual(chooseEngine(views, CHAT, turn / 100)?.view.key, 'e-0');
});

test('the load of a plain service that is slow at this moment counts by its momentary factor', () => {
  const views = [2, 3].map((load, at) => ({ key: `e-${at}`, load, slots: 8, isLocal: true }));
  const withFigure = (momentary: number) =>
    chooseEndpoint([{ ...(views[0] as (typeof views)[0]), momentary }, ...views.slice(1)], 0)?.key;
  assert.equal(withFigure(1.1), 'e-0');
  assert.equal(withFigure(2.5), 'e-1');
});

/**
 * Guards against two causes of overload: all instances choose the engine that has just ended a slow period, by views
 * that are 100 to 500 ms old; and fast engines get all the work while they are idle.
 */
test('under a figure that jumps, no engine gets more than 1.15 of its share by speed', () => {
  for (const seed of [1, 2]) {
    const options = { ...createUnevenOptions(seed), perS: 300, createPrompt: () => CHAT };
    const durationMs = 90_000;
    const fleet = new UnevenFleet(options, durationMs);
    fleet.run(durationMs);
    assert.ok(fleet.largestShare <= 1.15, `seed ${seed}: ${fleet.largestShare}`);
  }
});
