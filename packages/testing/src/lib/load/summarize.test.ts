import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createConfiguration, createOutcome, createScenario } from './fixtures';
import { formatReport } from './formatReport';
import type { LoadRecords } from './LoadRun';
import type { Outcome } from './Outcome';
import { renderPage } from './renderPage';
import { summarize } from './summarize';

function createRecords(outcomes: Outcome[]): LoadRecords {
  return {
    scenario: createScenario(),
    configuration: createConfiguration(),
    outcomes,
    samples: [
      { atMs: 0, running: 2, pricePerHour: 4, busy: 6, slots: 8 },
      { atMs: 1_800_000, running: 1, pricePerHour: 2, busy: 2, slots: 4 },
      { atMs: 3_600_000, running: 1, pricePerHour: 2, busy: 2, slots: 4 },
    ],
    generatedTokens: 200,
    startedAt: 0,
    lateMs: 3,
  };
}

const REFUSED = { status: 429, error: 'overloaded', notRun: true, isWhole: false, tokens: 0 };
const OUTCOMES = [
  createOutcome(),
  createOutcome({ firstTokenMs: 501 }),
  createOutcome({ betweenTokensMs: 59 }),
  createOutcome({ workspace: 'small', ...REFUSED }),
  createOutcome({ status: 0, error: 'connection', isWhole: false, tokens: 10 }),
];

test('only whole answers within both targets are attained', () => {
  const report = summarize(createRecords(OUTCOMES));
  assert.equal(report.attained, 1);
  const [chat] = report.classes;
  assert.deepEqual(
    [chat?.sent, chat?.answered, chat?.attained, chat?.refused, chat?.failed],
    [5, 3, 1, 1, 1],
  );
});

test('errors are counted by their names', () => {
  const { errors } = summarize(createRecords(OUTCOMES));
  assert.deepEqual(errors, { overloaded: 1, connection: 1 });
});

test('tokens outside of whole answers are wasted', () => {
  assert.equal(summarize(createRecords(OUTCOMES)).wastedShare, 0.25);
});

test('utilisation counts the time of the load only', () => {
  assert.equal(summarize(createRecords(OUTCOMES)).utilisation, 0.75);
});

test('cost follows the running endpoints', () => {
  assert.equal(summarize(createRecords(OUTCOMES)).cost, 3);
});

test('workspaces are listed from the worst served', () => {
  const { workspaces } = summarize(createRecords(OUTCOMES));
  assert.deepEqual(
    workspaces.map(({ name }) => name),
    ['small', 'large'],
  );
  assert.equal(workspaces[0]?.ofFairShare, 0);
});

test('the text and the page show all parts of the report', () => {
  const report = summarize(createRecords(OUTCOMES));
  assert.match(formatReport(report), /1 of 5 requests attained/);
  const page = renderPage(report);
  assert.equal(page.match(/<svg/g)?.length, 8);
  assert.ok(!/NaN|undefined|Infinity/.test(page));
});
