/**
 * Writes docs/result-codes.md and docs/events.md from the tables in the code. With `--check` it
 * writes nothing and fails when a page differs from the code.
 */
import { readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { listCodes, listEvents } from '@berylwood/base';
import '../apps/berylwood/src/lib/createProgram'; // eslint-disable-line import-x/no-relative-packages -- registers all tables

// The command line loads the roles only when they run, so their tables are registered here.
for (const name of readdirSync('packages')) await import(`@berylwood/${name}`);

function cell(value: unknown): string {
  return String(value).replaceAll('|', '\\|');
}

function table(header: readonly string[], rows: readonly unknown[][]): string {
  const lines = [header, header.map(() => '---'), ...rows];
  return lines.map((row) => `| ${row.map(cell).join(' | ')} |`).join('\n');
}

const codes = `# Result codes

Each expected failure has a number that is never used again. Callers see it in the body of the answer
as \`error.code\`, with its name as \`error.type\` and \`error.not_run\`: \`true\` says that the request
has not run and never will, \`false\` that it ran at least in part, \`"unknown"\` that neither can be
proved. A failure can state a stronger value than the default of this table when it has the proof.
This page is written by \`npm run tables\`.

${table(
  ['Number', 'Name', 'HTTP', 'not run', 'Meaning', 'What to do'],
  listCodes().map(({ number, name, status, notRun, meaning, remedy }) => [
    number,
    name,
    status,
    notRun,
    meaning,
    remedy,
  ]),
)}
`;

const events = `# Log events

Each line of the log is one numbered event; \`berylwood timeline\` merges them over processes. This page
is written by \`npm run tables\`.

${table(
  ['Number', 'Name', 'Level', 'Meaning', 'What to do'],
  listEvents().map(({ number, name, level, meaning, action }) => [
    number,
    name,
    level,
    meaning,
    action,
  ]),
)}
`;

const isCheck = process.argv.includes('--check');
for (const [file, text] of [
  ['docs/result-codes.md', codes],
  ['docs/events.md', events],
] as const) {
  if (!isCheck) writeFileSync(file, text);
  else if (readFileSync(file, 'utf8') !== text) {
    console.error(`${file} differs from the code: run npm run tables`);
    process.exitCode = 1;
  }
}
