import type { JournalRecord } from '@berylwood/base';
import { fieldsOf, timeOf } from './renderText';

const LANE_WIDTH = 150;
const ROW_HEIGHT = 24;
const HEADER_HEIGHT = 34;
const LABEL_OFFSET = 12;

/** Colours of the lanes, distinguishable with red-green colour blindness. */
const COLOURS = ['#0072b2', '#d55e00', '#009e73', '#cc79a7', '#56b4e9', '#b8860b', '#444444'];

const STYLE = `
body { font: 14px system-ui, sans-serif; margin: 24px; color: #1a1a1a; background: #fff; }
h1 { font-size: 20px; }
.line { position: relative; }
.row { display: flex; min-width: max-content; height: ${ROW_HEIGHT}px; align-items: center; white-space: nowrap; }
.row:hover { background: #f0f4f8; }
time { flex: none; width: 110px; font-variant-numeric: tabular-nums; color: #555; }
.text b { font-weight: 600; }
.text span { color: #555; margin-left: 8px; font-size: 12px; }
svg { flex: none; }
input { padding: 6px 8px; width: 320px; margin-bottom: 12px; }
`;

const SCRIPT = `
const input = document.querySelector('input');
input.addEventListener('input', () => {
  for (const row of document.querySelectorAll('.row[data-text]')) {
    row.style.display = row.dataset.text.includes(input.value) ? '' : 'none';
  }
});
`;

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

function colourOf(lane: number): string {
  return COLOURS[lane % COLOURS.length] ?? '#444444';
}

function drawHeader(lanes: readonly string[]): string {
  const labels = lanes.map((process, lane) => {
    const x = lane * LANE_WIDTH + LABEL_OFFSET;
    const label = escapeHtml(process);
    return `<text x="${x}" y="20" font-size="12" fill="${colourOf(lane)}">${label}</text>`;
  });
  const width = lanes.length * LANE_WIDTH;
  return `<div class="row" style="height:${HEADER_HEIGHT}px"><time>UTC</time><svg width="${width}" height="${HEADER_HEIGHT}">${labels.join('')}</svg></div>`;
}

function drawLanes(lanes: readonly string[], ownLane: number): string {
  const middle = ROW_HEIGHT / 2;
  const lines = lanes.map((_, lane) => {
    const x = lane * LANE_WIDTH + LABEL_OFFSET;
    const line = `<line x1="${x}" x2="${x}" y1="0" y2="${ROW_HEIGHT}" stroke="#d8dee4" stroke-width="2"/>`;
    if (lane !== ownLane) return line;
    return `${line}<circle cx="${x}" cy="${middle}" r="5" fill="${colourOf(lane)}"/>`;
  });
  return `<svg width="${lanes.length * LANE_WIDTH}" height="${ROW_HEIGHT}">${lines.join('')}</svg>`;
}

function drawRow(record: JournalRecord, lanes: readonly string[]): string {
  const ownLane = lanes.indexOf(record.process);
  const fields = escapeHtml(fieldsOf(record));
  const text = escapeHtml(`${record.process} ${record.event} ${record.name} ${fieldsOf(record)}`);
  const lanesDrawn = drawLanes(lanes, ownLane);
  return `<div class="row" data-text="${text}"><time>${timeOf(record)}</time>${lanesDrawn}<div class="text"><b style="color:${colourOf(ownLane)}">${record.event} ${escapeHtml(record.name)}</b><span>${fields}</span></div></div>`;
}

/** Renders a timeline as an HTML page with a lane per process and a row per record. @public */
export function renderHtml(records: readonly JournalRecord[], title: string): string {
  const lanes = [...new Set(records.map(({ process }) => process))].sort();
  const rows = records.map((record) => drawRow(record, lanes));
  const heading = escapeHtml(title);
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${heading}</title><style>${STYLE}</style></head>
<body><h1>${heading}</h1>
<input type="search" placeholder="show only rows with this text" aria-label="Filter">
<div class="line">${drawHeader(lanes)}${rows.join('\n')}</div>
<script>${SCRIPT}</script></body></html>
`;
}
