/**
 * Plays random schedules of replacements and lost disks: `--voters` is 3 or 5, `--seed` the first schedule (1 by
 * default), `--count` their number (1000). `--sync` and `--start` are as in sweep.ts. Prints each violated schedule; the
 * last line is one JSON object.
 */
import { parseArgs } from 'node:util';
import { replaceReplicas } from '../src/simulation/replaceReplicas';

function print(line: string): void {
  // eslint-disable-next-line no-console -- the output of the program
  console.log(line);
}

const { values } = parseArgs({
  options: {
    voters: { type: 'string', default: '3' },
    seed: { type: 'string', default: '1' },
    count: { type: 'string', default: '1000' },
    sync: { type: 'string', default: '0' },
    start: { type: 'string', default: '0' },
  },
});
const voters = values.voters === '5' ? 5 : 3;
const first = Number(values.seed);
const count = Number(values.count);
const syncMs = Number(values.sync);
const startMs = Number(values.start);
let violations = 0;
for (let seed = first; seed < first + count; seed += 1) {
  const finding = await replaceReplicas({ seed, voters, syncMs, startMs });
  if (finding.violations.length > 0) {
    violations += 1;
    print(`seed ${seed}: ${finding.violations.join('; ')}`);
    process.exitCode = 1;
  }
}
print(JSON.stringify({ voters, seed: first, schedules: count, violations }));
