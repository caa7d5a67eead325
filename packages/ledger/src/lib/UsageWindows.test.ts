import assert from 'node:assert/strict';
import { test } from 'node:test';
import { asId } from '@berylwood/base';
import { asWorkspaceId, type MeterRecord } from '@berylwood/schema';
import { UsageWindows, windowAt, type UsageLine } from './UsageWindows';

const WINDOW_MS = 1000;

function createWindows(): UsageWindows {
  const windows = new UsageWindows();
  windows.fixLength(WINDOW_MS, 10_000);
  return windows;
}

function recordOf(outputTokens: number): MeterRecord {
  return {
    sequence: 1,
    attempt: asId('att-1'),
    request: asId('req-1'),
    workspace: asWorkspaceId('acme'),
    class: 'chat',
    model: 'm',
    work: { inputTokens: 0, outputTokens, cachedTokens: 0 },
    billable: true,
  };
}

function reportedLines(windows: UsageWindows, index: number): UsageLine[] {
  const { report } = windows.closed[index] ?? { report: '{"lines":[]}' };
  return (JSON.parse(report) as { lines: UsageLine[] }).lines;
}

test('usage counts in the window in which its attempt ended', () => {
  const windows = createWindows();
  windows.add(recordOf(1), 10_999);
  windows.add(recordOf(2), 11_000);
  windows.close(12_500);
  assert.deepEqual(
    windows.closed.map(({ window }) => window),
    [windowAt(10_000), windowAt(11_000)],
  );
  assert.equal(reportedLines(windows, 0)[0]?.work.outputTokens, 1);
});

test('a frozen report does not change, and late usage becomes an adjustment with its origin', () => {
  const windows = createWindows();
  windows.add(recordOf(1), 10_500);
  windows.close(11_000);
  const { report } = windows.closed[0] ?? {};
  windows.add(recordOf(5), 10_600);
  windows.close(12_000);
  assert.equal(windows.closed[0]?.report, report);
  const [late] = reportedLines(windows, 1);
  assert.equal(late?.origin, windowAt(10_000));
  assert.equal(late?.work.outputTokens, 5);
});

test('a window is reported once', () => {
  const windows = createWindows();
  windows.add(recordOf(1), 10_500);
  assert.ok(windows.report(windowAt(10_000), 1).isErr());
  windows.close(11_000);
  assert.ok(windows.report(windowAt(10_000), 1).isOk());
  assert.ok(windows.report(windowAt(10_000), 2).isErr());
});

test('the length of windows never changes', () => {
  const windows = createWindows();
  windows.fixLength(50, 20_000);
  assert.equal(windows.windowMs, WINDOW_MS);
});
