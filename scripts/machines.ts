/**
 * Generates the diagrams and tables of the attempt state machines between the markers in
 * docs/design/attempts.md. With `--check`, it writes nothing and fails if the page differs.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { exchangeTable } from '@berylwood/entry';
import { attemptTable } from '@berylwood/sidecar';
import { renderMachine } from '@berylwood/testing';

const PAGE = 'docs/design/attempts.md';

const sections = {
  entry: renderMachine(exchangeTable, {
    'Proved not to have run': ({ notRun }) => String(notRun),
    'Time limit': ({ limitMs }) => (limitMs === undefined ? 'no limit' : `${limitMs} ms`),
  }),
  sidecar: renderMachine(attemptTable, {
    'Reply to a revocation': ({ revoked }) => revoked,
    '`not_run` of a failure': ({ notRun }) => String(notRun),
  }),
};

let page = readFileSync(PAGE, 'utf8');
const before = page;
for (const [name, text] of Object.entries(sections)) {
  const [start, end] = [`<!-- ${name} machine -->`, `<!-- end of ${name} machine -->`];
  const at = page.indexOf(start);
  const endAt = page.indexOf(end);
  if (at < 0 || endAt < at) throw new Error(`${PAGE} has no markers for the ${name} machine`);
  page = `${page.slice(0, at + start.length)}\n\n${text}\n\n${page.slice(endAt)}`;
}
if (!process.argv.includes('--check')) writeFileSync(PAGE, page);
else if (page !== before) {
  console.error(`${PAGE} differs from the machines: run npm run machines`);
  process.exitCode = 1;
}
