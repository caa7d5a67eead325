import type { Latency, LoadReport } from './LoadReport';

const PERCENT = 100;

function percent(share: number): string {
  return `${(share * PERCENT).toFixed(1)}%`;
}

function milliseconds({ p50, p95, p99 }: Latency): string {
  return [p50, p95, p99].map((value) => Math.round(value)).join(' / ');
}

/** Lays out rows in columns; the first row is the head. @internal */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => (row[column] ?? '').length)),
  );
  const lines = rows.map((row) =>
    row
      .map((cell, column) =>
        column === 0 ? cell.padEnd(widths[column] ?? 0) : cell.padStart(widths[column] ?? 0),
      )
      .join('  ')
      .trimEnd(),
  );
  return lines.join('\n');
}

function classTable({ classes }: LoadReport): string {
  const head = [
    'class',
    'tier',
    'sent',
    'attained',
    'refused',
    'failed',
    'first token ms',
    'between',
  ];
  const rows = classes.map((summary) => [
    summary.name,
    String(summary.tier),
    String(summary.sent),
    percent(summary.attainment),
    String(summary.refused),
    String(summary.failed),
    milliseconds(summary.firstTokenMs),
    milliseconds(summary.betweenTokensMs),
  ]);
  return formatTable([head, ...rows]);
}

function formatErrors({ errors }: LoadReport): string {
  const counts = Object.entries(errors).map(([error, count]) => `${error} ${count}`);
  return counts.length > 0 ? counts.join(', ') : 'none';
}

function workspaceTable({ workspaces }: LoadReport): string {
  const head = ['workspace', 'of fair share', 'served', 'demanded', 'attained'];
  const rows = workspaces.map(({ name, ofFairShare, servedWork, demandedWork, attainment }) => [
    name,
    percent(ofFairShare),
    String(servedWork),
    String(demandedWork),
    percent(attainment),
  ]);
  return formatTable([head, ...rows]);
}

/** The report of a load as text; latencies are p50 / p95 / p99. @public */
export function formatReport(report: LoadReport): string {
  const { name, seed, sent, attained, durationS, goodTokensPerSecond } = report;
  const { wastedShare, utilisation, cost, costPerAttained, generatorLateMs } = report;
  const totals = [
    `${name}, seed ${seed}: ${attained} of ${sent} requests attained in ${durationS} s`,
    `goodput ${goodTokensPerSecond.toFixed(1)} tokens/s, wasted ${percent(wastedShare)}, ` +
      `slots in use ${percent(utilisation)}`,
    `endpoints cost ${cost.toFixed(4)}, ${costPerAttained.toFixed(6)} for each attained request`,
    `errors: ${formatErrors(report)}`,
    `generator at most ${Math.round(generatorLateMs)} ms late`,
  ];
  return [totals.join('\n'), classTable(report), workspaceTable(report)].join('\n\n');
}
