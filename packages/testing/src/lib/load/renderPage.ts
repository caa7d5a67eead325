import type { ClassSummary, Latency, LoadReport } from './LoadReport';
import { formatReport } from './formatReport';
import { barPlot, escapeHtml, linePlot, type Bar, type Series } from './plots';

const PERCENT = 100;
const MS_PER_S = 1000;

const STYLE = `
body { font: 14px system-ui, sans-serif; max-width: 720px; margin: 2em auto; padding: 0 1em;
  color-scheme: light dark; }
h2 { font-size: 1.05em; margin: 2em 0 0.3em; }
svg { width: 100%; height: auto; }
svg text { font-size: 11px; fill: currentColor; dominant-baseline: middle; }
svg text.left { text-anchor: end; }
svg line.grid { stroke: currentColor; opacity: 0.15; }
svg rect { fill: #0072b2; }
.legend { margin: 0.3em 0; font-size: 0.9em; }
pre { overflow-x: auto; }
`;

function attainmentPlot({ classes, seconds }: LoadReport): string {
  const series = classes.map(({ name }): Series => {
    const points = seconds
      .filter(({ attainment }) => name in attainment)
      .map(({ second, attainment }) => [second, (attainment[name] ?? 0) * PERCENT] as const);
    return { name, points };
  });
  return linePlot('Attainment by class, % of the requests sent in each second', series, PERCENT);
}

function latencyPlot(
  title: string,
  { classes }: LoadReport,
  latencyOf: (summary: ClassSummary) => Latency,
): string {
  const bars = classes.flatMap((summary): Bar[] => {
    const { p50, p95, p99 } = latencyOf(summary);
    return [
      { name: `${summary.name} p50`, value: p50 },
      { name: 'p95', value: p95 },
      { name: 'p99', value: p99 },
    ];
  });
  return barPlot(title, bars, ' ms');
}

function goodputPlot({ seconds }: LoadReport): string {
  const good = seconds.map(({ second, goodTokens }) => [second, goodTokens] as const);
  return linePlot('Goodput, answer tokens of the attained requests sent in each second', [
    { name: 'tokens', points: good },
  ]);
}

function wastePlot({ generatedTokens, wastedShare, goodTokensPerSecond, durationS }: LoadReport) {
  const good = goodTokensPerSecond * durationS;
  const wasted = generatedTokens * wastedShare;
  return barPlot(
    'Generated tokens',
    [
      { name: 'within targets', value: good },
      { name: 'whole, but late', value: Math.max(0, generatedTokens - wasted - good) },
      { name: 'wasted', value: wasted },
    ],
    '',
  );
}

function workspacePlot({ workspaces }: LoadReport): string {
  const bars = workspaces.map(({ name, ofFairShare }) => ({ name, value: ofFairShare * PERCENT }));
  return barPlot('Served work by workspace, % of its fair share, the worst first', bars, '%');
}

function endpointPlots({ endpoints, cost }: LoadReport): string {
  const running = endpoints.map(({ atMs, running: count }) => [atMs / MS_PER_S, count] as const);
  const price = endpoints.map(({ atMs, pricePerHour }) => [atMs / MS_PER_S, pricePerHour] as const);
  return (
    linePlot('Running endpoints', [{ name: 'endpoints', points: running }]) +
    linePlot(`Price of the running endpoints an hour; cost of the load: ${cost.toFixed(4)}`, [
      { name: 'price', points: price },
    ])
  );
}

/** The report of a load as an HTML page of one file. @public */
export function renderPage(report: LoadReport): string {
  const title = escapeHtml(`Load ${report.name}`);
  const plots = [
    attainmentPlot(report),
    latencyPlot('Time to the first token', report, ({ firstTokenMs }) => firstTokenMs),
    latencyPlot('Time between tokens', report, ({ betweenTokensMs }) => betweenTokensMs),
    goodputPlot(report),
    wastePlot(report),
    workspacePlot(report),
    endpointPlots(report),
  ];
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${title}</title><style>${STYLE}</style></head>
<body><h1>${title}</h1><pre>${escapeHtml(formatReport(report))}</pre>
${plots.join('\n')}
</body></html>
`;
}
