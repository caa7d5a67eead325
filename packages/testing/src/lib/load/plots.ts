/** One line of a plot. @internal */
export interface Series {
  readonly name: string;
  /** Points by x; a gap is left out. */
  readonly points: readonly (readonly [number, number])[];
}

/** One bar of a plot. @internal */
export interface Bar {
  readonly name: string;
  readonly value: number;
}

const WIDTH = 640;
const HEIGHT = 200;
const LEFT = 56;
const RIGHT = 12;
const TOP = 10;
const BOTTOM = 24;
const GRID_LINES = 4;
const BAR_HEIGHT = 18;
const BAR_LABEL_WIDTH = 180;
const VALUE_WIDTH = 70;

/** Colours of the series, told apart also with the common kinds of colour blindness. */
const COLOURS = ['#0072b2', '#d55e00', '#009e73', '#cc79a7', '#e69f00', '#56b4e9', '#666666'];

/** Escapes a text for HTML. @internal */
export function escapeHtml(text: string): string {
  const entities: Record<string, string> = {
    '&': '&amp;',
    '<': '&lt;',
    '>': '&gt;',
    '"': '&quot;',
  };
  return text.replace(/[&<>"]/g, (character) => entities[character] ?? character);
}

function format(value: number): string {
  return Number(value.toPrecision(3)).toString();
}

function colour(index: number): string {
  return COLOURS[index % COLOURS.length] ?? '';
}

function grid(maximum: number, y: (value: number) => number): string {
  return Array.from({ length: GRID_LINES + 1 }, (_, index) => {
    const value = (maximum * index) / GRID_LINES;
    const at = y(value).toFixed(1);
    return (
      `<line x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${at}" y2="${at}" class="grid"/>` +
      `<text x="${LEFT - 6}" y="${at}" class="left">${format(value)}</text>`
    );
  }).join('');
}

function legend(series: readonly Series[]): string {
  const items = series.map(
    ({ name }, index) => `<span style="color:${colour(index)}">■</span> ${escapeHtml(name)}`,
  );
  return `<p class="legend">${items.join(' &nbsp; ')}</p>`;
}

/**
 * A plot of lines over time in seconds, as inline SVG.
 * @param maximum - upper end of the y axis; the largest value when left out.
 * @internal
 */
export function linePlot(title: string, series: readonly Series[], maximum?: number): string {
  const points = series.flatMap((line) => line.points);
  const xMax = Math.max(1, ...points.map(([x]) => x));
  const yMax = maximum ?? Math.max(Number.MIN_VALUE, ...points.map(([, y]) => y));
  const x = (value: number): number => LEFT + (value / xMax) * (WIDTH - LEFT - RIGHT);
  const y = (value: number): number => HEIGHT - BOTTOM - (value / yMax) * (HEIGHT - TOP - BOTTOM);
  const lines = series.map((line, index) => {
    const path = line.points.map(([a, b]) => `${x(a).toFixed(1)},${y(b).toFixed(1)}`).join(' ');
    return `<polyline points="${path}" fill="none" stroke="${colour(index)}" stroke-width="1.5"/>`;
  });
  const foot =
    `<text x="${LEFT}" y="${HEIGHT - 6}">0 s</text>` +
    `<text x="${WIDTH - RIGHT}" y="${HEIGHT - 6}" class="left">${format(xMax)} s</text>`;
  const drawing = grid(yMax, y) + lines.join('') + foot;
  return (
    `<h2>${escapeHtml(title)}</h2>${legend(series)}` +
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="${escapeHtml(title)}">${drawing}</svg>`
  );
}

/** A plot of horizontal bars in the given order, as inline SVG. @internal */
export function barPlot(title: string, bars: readonly Bar[], unit: string): string {
  const maximum = Math.max(Number.MIN_VALUE, ...bars.map(({ value }) => value));
  const scale = (WIDTH - BAR_LABEL_WIDTH - VALUE_WIDTH) / maximum;
  const height = Math.max(1, bars.length) * BAR_HEIGHT;
  const rows = bars.map(({ name, value }, index) => {
    const top = index * BAR_HEIGHT;
    const middle = top + BAR_HEIGHT / 2;
    const width = (value * scale).toFixed(1);
    const end = BAR_LABEL_WIDTH + value * scale + 6;
    return (
      `<text x="${BAR_LABEL_WIDTH - 6}" y="${middle}" class="left">${escapeHtml(name)}</text>` +
      `<rect x="${BAR_LABEL_WIDTH}" y="${top + 3}" width="${width}" height="${BAR_HEIGHT - 6}"/>` +
      `<text x="${end.toFixed(1)}" y="${middle}">${format(value)}${unit}</text>`
    );
  });
  return (
    `<h2>${escapeHtml(title)}</h2>` +
    `<svg viewBox="0 0 ${WIDTH} ${height}" role="img" aria-label="${escapeHtml(title)}">` +
    `${rows.join('')}</svg>`
  );
}
